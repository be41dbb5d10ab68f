#include "manifest/manifest_state.h"

#include "common/hash.h"
#include "common/log.h"

namespace almondline {

namespace {

apply_result reject(std::int64_t version, const std::string& source, const std::string& reason)
{
    log_event("manifest", log_level::warning, "manifest-not-applied",
              {{"version", version}, {"source", source}, {"reason", reason}});
    return {false, reason};
}

} // namespace

apply_result manifest_state::apply(std::int64_t version, const std::string& digest,
                                   const std::string& text, const std::string& source)
{
    // Peers announce their version continuously, so old versions are expected and not logged.
    if (version <= this->version()) {
        return {false, "version " + std::to_string(version) + " is not above version " +
                           std::to_string(this->version()) + " in force"};
    }
    if (sha256_hex(text) != digest) {
        return reject(version, source, "the text does not match the digest " + digest);
    }
    parse_error error;
    auto parsed = parser_(text, source, error);
    if (!parsed) {
        return reject(version, source, to_string(error));
    }
    if (parsed->version != 0 && parsed->version != version) {
        return reject(version, source,
                      "the text states version " + std::to_string(parsed->version));
    }
    parsed->version = version;
    parsed->digest = digest;
    manifest_ = std::make_shared<const manifest>(std::move(*parsed));
    text_ = std::make_shared<const std::string>(text);
    log_event("manifest", log_level::info, "manifest-applied",
              {{"version", version}, {"digest", digest}, {"source", source}});
    return {true, {}};
}

} // namespace almondline
