#include "store/internal/store_answers.h"

#include "common/json.h"
#include "store/internal/platform_call.h"

#include <optional>

namespace almondline::store_internal {

namespace {

std::optional<boost::json::value> body_of(const http_result& result)
{
    auto parsed = parse_json(result.response.body);
    if (!parsed) {
        return std::nullopt;
    }
    return std::move(parsed.value());
}

std::uint64_t revision_of(const std::optional<boost::json::value>& body)
{
    const std::int64_t revision = body ? integer_or(*body, "revision", 0) : 0;
    return revision > 0 ? static_cast<std::uint64_t>(revision) : 0;
}

bool is_refusal(int status)
{
    return status == 429 || status == 413 || status == 503;
}

} // namespace

get_result to_get_result(const http_result& result)
{
    get_result out;
    if (result.progress != http_progress::complete) {
        out.message = describe_failure(result);
        return out;
    }
    if (result.response.status == 404) {
        out.status = get_status::missing;
        return out;
    }
    if (result.response.status == 304 || result.response.status == 204) {
        out.status = get_status::unchanged;
        return out;
    }
    if (result.response.status != 200) {
        out.message = describe_failure(result);
        return out;
    }
    const auto body = body_of(result);
    out.revision = revision_of(body);
    if (out.revision == 0 || !body->as_object().contains("value")) {
        out.revision = 0;
        out.message = "the answer holds no value and revision";
        return out;
    }
    out.value = string_or(*body, "value");
    out.status = get_status::found;
    return out;
}

put_result to_put_result(const http_result& result)
{
    put_result out;
    out.message = describe_failure(result);
    if (result.progress == http_progress::not_connected) {
        out.status = put_status::refused;
        return out;
    }
    // The status line alone proves a refusal; a success or conflict also needs the body's revision.
    const bool has_status =
        result.progress == http_progress::answered || result.progress == http_progress::complete;
    if (has_status && is_refusal(result.response.status)) {
        out.status = put_status::refused;
        out.message = "the service answered " + std::to_string(result.response.status);
        return out;
    }
    if (result.progress != http_progress::complete) {
        return out;
    }
    out.revision = revision_of(body_of(result));
    if (result.response.status == 200 && out.revision > 0) {
        out.status = put_status::done;
        out.message.clear();
    }
    // A conflict has revision 0 if the key was deleted in the meantime.
    if (result.response.status == 409) {
        out.status = put_status::conflict;
        out.message.clear();
    }
    return out;
}

lease_result to_lease_result(const http_result& result, const std::string& lease_id)
{
    lease_result out;
    out.lease_id = lease_id;
    if (result.progress != http_progress::complete) {
        out.message = describe_failure(result);
        return out;
    }
    if (result.response.status == 404 || result.response.status == 410) {
        out.is_lost = true;
        out.message = "the lease does not exist";
        return out;
    }
    if (result.response.status != 200 && result.response.status != 204) {
        out.message = describe_failure(result);
        return out;
    }
    if (lease_id.empty()) {
        const auto body = body_of(result);
        out.lease_id = body ? string_or(*body, "lease") : std::string{};
    }
    out.is_granted = !out.lease_id.empty();
    out.message = out.is_granted ? "" : "the answer holds no lease";
    return out;
}

} // namespace almondline::store_internal
