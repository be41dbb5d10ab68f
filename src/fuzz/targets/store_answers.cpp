#include "store/internal/store_answers.h"

#include "fuzz/invariant.h"
#include "fuzz/targets.h"

#include <array>

namespace almondline::fuzz {

namespace {

constexpr std::array statuses{200, 200, 200, 204, 304, 404, 409, 410, 413, 429, 500, 503};

/// The first byte selects the status of the response, the second one the progress of the call.
http_result make_result(std::string_view input)
{
    http_result result;
    const auto status = static_cast<unsigned char>(input[0]);
    const auto progress = static_cast<unsigned char>(input[1]);
    result.response.status = statuses[status % statuses.size()];
    result.response.body = input.substr(2);
    result.progress =
        progress % 8 > 2 ? http_progress::complete : static_cast<http_progress>(progress % 8);
    return result;
}

void check_put(const http_result& result)
{
    const auto put = store_internal::to_put_result(result);
    const int status = result.response.status;
    const bool may_be_written = result.progress != http_progress::not_connected && status != 413 &&
                                status != 429 && status != 503;
    require(put.status != put_status::refused || !may_be_written ||
                result.progress == http_progress::sent,
            "a write that may have happened is not reported as refused");
    require(put.status != put_status::refused || result.progress != http_progress::sent,
            "a write without an answer is not reported as refused");
    require(put.status != put_status::done || (status == 200 && put.revision > 0),
            "a completed write has status 200 and a revision");
}

} // namespace

void fuzz_store_answers(std::string_view input)
{
    if (input.size() < 2) {
        return;
    }
    const auto result = make_result(input);
    const auto got = store_internal::to_get_result(result);
    require(got.status != get_status::found || got.revision > 0,
            "a value that was found has a revision");
    require(got.status != get_status::failed || !got.message.empty(),
            "a failed read has a message");
    check_put(result);
    for (const char* lease_id : {"", "l1"}) {
        const auto lease = store_internal::to_lease_result(result, lease_id);
        require(!lease.is_granted || !lease.lease_id.empty(), "a granted lease has an id");
        require(!lease.is_granted || !lease.is_lost, "a lost lease is not granted");
    }
}

} // namespace almondline::fuzz
