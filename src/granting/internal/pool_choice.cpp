#include "granting/internal/load_messages.h"
#include "granting/internal/messages.h"
#include "granting/pools.h"

#include "balance/slice_choice.h"
#include "common/hash.h"
#include "scheduling/types/results.h"

#include <algorithm>
#include <cstdio>

/// The slice that is asked for the credit of a request.
namespace almondline::granting {

namespace {

/// Slices that are asked after the first one has refused a request. Each costs a message and its
/// answer.
constexpr std::size_t max_overflows = 2;

/// Another slice of the service may have free capacity, or more of the account's allowance left.
bool may_differ_in_other_slice(const std::string& code)
{
    return code == scheduling::code_shed || code == scheduling::code_deadline ||
           code == code_no_backend || code == code_allowance;
}

/// Returns "pool=load" of each slice, with "?" for an unknown load.
std::string describe(const std::vector<balance::compared_slice>& compared)
{
    std::vector<std::string> texts;
    for (const auto& it : compared) {
        char buf[32] = "?";
        if (it.load) {
            std::snprintf(buf, sizeof buf, "%.3g", *it.load);
        }
        texts.push_back(it.pool + "=" + buf);
    }
    return join(texts);
}

} // namespace

std::string pools::choose_pool(const std::string& service,
                               const scheduling::credit_request& request,
                               const std::vector<pool_refusal>& refused_by)
{
    const auto it = services_.find(service);
    if (it == services_.end() || it->second.slices.size() <= 1) {
        return refused_by.empty() ? service : std::string{};
    }
    const auto slices = usable_slices(it->second, request.account, refused_by);
    const balance::slice_request wanted{request.tier,
                                        stable_hash(request.request_id, refused_by.size())};
    const auto chosen = refused_by.empty()
                            ? balance::choose_slice(loads_, slices, wanted, clock_.now())
                            : choose_other_pool(slices, wanted, refused_by);
    balance::note_sent(loads_, chosen.pool);
    log_choice(request, chosen, refused_by);
    return chosen.pool;
}

balance::slice_choice pools::choose_other_pool(const std::vector<std::string>& slices,
                                               const balance::slice_request& wanted,
                                               const std::vector<pool_refusal>& refused_by) const
{
    const auto& code = refused_by.back().code;
    if (!may_differ_in_other_slice(code)) {
        return {};
    }
    if (code == code_allowance) {
        // Figures of the load say nothing about the account's allowance.
        return refused_by.size() > 1 ? balance::slice_choice{}
                                     : balance::choose_slice(loads_, slices, wanted, clock_.now());
    }
    return refused_by.size() > max_overflows
               ? balance::slice_choice{}
               : balance::choose_overflow(loads_, slices, wanted, clock_.now());
}

void pools::log_choice(const scheduling::credit_request& request,
                       const balance::slice_choice& chosen,
                       const std::vector<pool_refusal>& refused_by)
{
    const bool is_first = refused_by.empty();
    decisions_.add(request.request_id, is_first ? log_level::debug : log_level::info,
                   "slice-chosen",
                   {{"request", request.request_id},
                    {"pool", chosen.pool},
                    {"tier", request.tier},
                    {"account", request.account},
                    {"refused_by", is_first ? std::string{} : refused_by.back().pool},
                    {"code", is_first ? std::string{} : refused_by.back().code},
                    {"compared", describe(chosen.compared)}});
}

std::vector<std::string> pools::usable_slices(const divided_service& service,
                                              const std::string& account,
                                              const std::vector<pool_refusal>& refused_by) const
{
    const auto rate = allowance_rates_.find(account);
    const double allowance = rate == allowance_rates_.end() ? 0 : rate->second;
    const auto count = service.slices.size();
    const auto& name = service.policy->name;
    std::vector<std::string> out;
    std::vector<std::string> ownerless;
    for (const auto it : account_slices(name, account, slice_count_of(service, allowance), count)) {
        auto pool = slice_name(name, it, count);
        if (std::any_of(refused_by.begin(), refused_by.end(),
                        [&](const auto& refusal) { return refusal.pool == pool; })) {
            continue;
        }
        auto& list = owners_.count(pool) != 0 ? out : ownerless;
        list.push_back(std::move(pool));
    }
    return out.empty() ? ownerless : out;
}

std::size_t pools::slice_count_of(const divided_service& service, double allowance) const
{
    return account_slice_count(allowance, total_allowance_, service.slices.size());
}

void pools::note_load(const std::string& from, const wire::envelope& message)
{
    const auto note = [&](const std::string& pool, const wire::slice_load& load) {
        // A former owner may still answer, but new requests go to the owner.
        if (owner_of(pool).instance_id == from) {
            balance::note_load(loads_, pool, from_wire(load), clock_.now());
        }
    };
    if (message.__isset.grant && message.grant.__isset.load) {
        note(message.grant.pool, message.grant.load);
    }
    else if (message.__isset.refusal && message.refusal.__isset.load) {
        note(message.refusal.pool, message.refusal.load);
    }
}

} // namespace almondline::granting
