#pragma once

#include "manifest/parse.h"
#include "manifest/types/manifest.h"

#include <cstdint>
#include <memory>
#include <string>

namespace almondline {

struct apply_result {
    bool is_applied = false;
    std::string reason; ///< why it was not applied
};

/// The manifest in force on this instance. Used on the control thread; snapshots may be passed to
/// other threads.
class manifest_state {
public:
    /// The parser reads the format that the fleet's operators use.
    explicit manifest_state(manifest_parser parser = try_parse_manifest) : parser_{parser} {}

    /// Puts a manifest in force if its version is above the current one, the text matches the
    /// digest and the parser accepts it. The source, for example "store" or a peer's id, only
    /// appears in log lines and reasons.
    apply_result apply(std::int64_t version, const std::string& digest, const std::string& text,
                       const std::string& source);

    /// Null before the first manifest is applied.
    std::shared_ptr<const manifest> snapshot() const { return manifest_; }
    /// Text of the manifest in force, to be sent to peers. Null before the first is applied.
    std::shared_ptr<const std::string> text() const { return text_; }
    /// 0 before the first manifest is applied.
    std::int64_t version() const { return manifest_ ? manifest_->version : 0; }
    std::string digest() const { return manifest_ ? manifest_->digest : std::string{}; }

private:
    manifest_parser parser_;
    std::shared_ptr<const manifest> manifest_;
    std::shared_ptr<const std::string> text_;
};

} // namespace almondline
