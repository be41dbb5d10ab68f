#include "granting/tests/build_farm.h"

#include "common/hash.h"

#include <doctest/doctest.h>

using namespace almondline;
using namespace almondline::granting;
using namespace almondline::granting::build_farm;

namespace {

/// The choice before slices were chosen by load: two slices of the account, by the request's hash.
std::string choose_by_hash(sliced_fleet::instance&, const std::string& service,
                           const scheduling::credit_request& request,
                           const std::vector<pool_refusal>& refused_by)
{
    static const auto shares = account_shares();
    const auto account = static_cast<std::size_t>(std::stoi(request.account.substr(1)));
    const auto own = account_slices(service, request.account,
                                    account_slice_count(shares[account], 1, slices), slices);
    const auto first = stable_hash(request.request_id) % own.size();
    if (refused_by.size() > 1 || (refused_by.size() == 1 && own.size() == 1)) {
        return {};
    }
    return slice_name(service, own[(first + refused_by.size()) % own.size()], slices);
}

/// Figures of a play, as means over its requests.
struct play_result {
    double imbalance = 0;
    double asks = 0;
    double messages = 0;
    double bytes = 0;
    double bytes_without_load = 0;
};

play_result run_seconds_1_to_6(double load, const sliced_fleet::chooser& choose, std::uint64_t seed)
{
    play it{seed, load};
    it.fleet.is_counting_bytes = true;
    if (choose) {
        it.fleet.choose = choose;
    }
    it.run_for(1s);
    it.run_for(5s, true);
    play_result out;
    out.imbalance = it.imbalance();
    const auto requests = static_cast<double>(it.fleet.outcomes.size());
    for (const auto& [id, outcome] : it.fleet.outcomes) {
        out.asks += outcome.asks / requests;
    }
    out.messages = static_cast<double>(it.fleet.messages) / requests;
    out.bytes = static_cast<double>(it.fleet.bytes) / requests;
    out.bytes_without_load = static_cast<double>(it.fleet.bytes_without_load) / requests;
    return out;
}

} // namespace

// Three of eight slices were full for 5 s while two had every server free: a small account's
// requests went to two slices by their hash, whatever the load.
TEST_CASE("the usable servers of the fullest and the emptiest slice are within a factor of two")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        CAPTURE(seed);
        const auto before = run_seconds_1_to_6(1.1, choose_by_hash, seed);
        const auto now = run_seconds_1_to_6(1.1, {}, seed);
        CHECK(before.imbalance > 4);
        CHECK(now.imbalance <= 2);
        CHECK(now.messages <= 1.1 * before.messages);
        CHECK(now.bytes <= 1.1 * before.bytes_without_load);
        MESSAGE("imbalance ", before.imbalance, " -> ", now.imbalance, ", asks ", before.asks,
                " -> ", now.asks, ", messages ", before.messages, " -> ", now.messages, ", bytes ",
                before.bytes_without_load, " -> ", now.bytes);
    }
}
