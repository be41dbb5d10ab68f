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

/// A text that was checked regardless of the manifest in force.
struct checked_manifest {
    std::int64_t version = 0;
    std::string source; ///< for example "store" or a peer's id, only for log lines and reasons
    std::shared_ptr<const std::string> text;
    std::shared_ptr<const manifest> content; ///< null if the text is not valid
    std::string reason;                      ///< why it is not valid
};

/// Verifies the digest of a text and parses it. May run on any thread.
checked_manifest check_manifest(manifest_parser parser, std::int64_t version,
                                const std::string& digest, std::shared_ptr<const std::string> text,
                                const std::string& source);

/// The manifest in force on this instance. Used on the control thread; snapshots may be passed to
/// other threads.
class manifest_state {
public:
    /// The parser reads the format that the fleet's operators use.
    explicit manifest_state(manifest_parser parser = try_parse_manifest) : parser_{parser} {}

    /// Checks a text and puts it in force as put_in_force does.
    apply_result apply(std::int64_t version, const std::string& digest, const std::string& text,
                       const std::string& source);
    /// Puts a checked manifest in force if it is valid and its version is above the current one.
    apply_result put_in_force(checked_manifest checked);

    /// Null before the first manifest is applied.
    std::shared_ptr<const manifest> snapshot() const { return manifest_; }
    /// Text of the manifest in force. Null before the first is applied.
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
