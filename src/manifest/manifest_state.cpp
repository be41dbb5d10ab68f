#include "manifest/manifest_state.h"

#include "common/hash.h"
#include "common/log.h"

#include <utility>

namespace almondline {

namespace {

apply_result reject(std::int64_t version, const std::string& source, const std::string& reason)
{
    log_event("manifest", log_level::warning, "manifest-not-applied",
              {{"version", version}, {"source", source}, {"reason", reason}});
    return {false, reason};
}

} // namespace

checked_manifest check_manifest(manifest_parser parser, std::int64_t version,
                                const std::string& digest, std::shared_ptr<const std::string> text,
                                const std::string& source)
{
    checked_manifest out{version, source, std::move(text), nullptr, {}};
    if (sha256_hex(*out.text) != digest) {
        out.reason = "the text does not match the digest " + digest;
        return out;
    }
    parse_error error;
    auto parsed = parser(*out.text, source, error);
    if (!parsed) {
        out.reason = to_string(error);
        return out;
    }
    if (parsed->version != 0 && parsed->version != version) {
        out.reason = "the text states version " + std::to_string(parsed->version);
        return out;
    }
    parsed->version = version;
    parsed->digest = digest;
    out.content = std::make_shared<const manifest>(std::move(*parsed));
    return out;
}

apply_result manifest_state::apply(std::int64_t version, const std::string& digest,
                                   const std::string& text, const std::string& source)
{
    return put_in_force(check_manifest(parser_, version, digest,
                                       std::make_shared<const std::string>(text), source));
}

apply_result manifest_state::put_in_force(checked_manifest checked)
{
    // Peers announce their version continuously, so old versions are expected and not logged.
    if (checked.version <= version()) {
        return {false, "version " + std::to_string(checked.version) + " is not above version " +
                           std::to_string(version()) + " in force"};
    }
    if (!checked.content) {
        return reject(checked.version, checked.source, checked.reason);
    }
    manifest_ = std::move(checked.content);
    text_ = std::move(checked.text);
    log_event("manifest", log_level::info, "manifest-applied",
              {{"version", manifest_->version},
               {"digest", manifest_->digest},
               {"source", checked.source}});
    return {true, {}};
}

} // namespace almondline
