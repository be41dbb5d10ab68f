#include "granting/internal/credit_table.h"

namespace almondline::granting {

void credit_table::add(issued_credit entry)
{
    const auto id = entry.granted.request_id;
    by_holder_[entry.holder].insert(id);
    if (!entry.is_confirmed) {
        unconfirmed_.emplace(entry.granted.expires, id);
    }
    by_request_.emplace(id, std::move(entry));
}

issued_credit* credit_table::find(const std::string& request_id)
{
    const auto it = by_request_.find(request_id);
    return it == by_request_.end() ? nullptr : &it->second;
}

void credit_table::confirm(issued_credit& entry, steady_time now)
{
    unconfirmed_.erase({entry.granted.expires, entry.granted.request_id});
    if (!entry.is_confirmed) {
        entry.is_confirmed = true;
        entry.confirmed_at = now;
    }
}

void credit_table::extend(issued_credit& entry, steady_time expires)
{
    if (entry.is_confirmed) {
        return;
    }
    unconfirmed_.erase({entry.granted.expires, entry.granted.request_id});
    entry.granted.expires = expires;
    unconfirmed_.emplace(expires, entry.granted.request_id);
}

std::optional<issued_credit> credit_table::remove(const std::string& request_id)
{
    const auto it = by_request_.find(request_id);
    if (it == by_request_.end()) {
        return std::nullopt;
    }
    auto entry = std::move(it->second);
    by_request_.erase(it);
    unconfirmed_.erase({entry.granted.expires, request_id});
    const auto held = by_holder_.find(entry.holder);
    held->second.erase(request_id);
    if (held->second.empty()) {
        by_holder_.erase(held);
    }
    return entry;
}

std::optional<issued_credit> credit_table::expire_next(steady_time now)
{
    if (unconfirmed_.empty() || unconfirmed_.begin()->first > now) {
        return std::nullopt;
    }
    const auto id = unconfirmed_.begin()->second;
    auto entry = remove(id);
    expired_.insert_or_assign(id, expired_credit{*entry, now + late_confirmation_window_});
    return entry;
}

std::optional<issued_credit> credit_table::remove_expired(const std::string& request_id,
                                                          const std::string& credit_id)
{
    const auto it = expired_.find(request_id);
    if (it == expired_.end() || it->second.entry.granted.credit_id != credit_id) {
        return std::nullopt;
    }
    auto entry = std::move(it->second.entry);
    expired_.erase(it);
    return entry;
}

void credit_table::prune_expired(steady_time now)
{
    std::erase_if(expired_, [&](const auto& it) { return it.second.keep_until <= now; });
}

std::vector<std::string> credit_table::requests_of(const std::string& holder) const
{
    const auto it = by_holder_.find(holder);
    if (it == by_holder_.end()) {
        return {};
    }
    return {it->second.begin(), it->second.end()};
}

} // namespace almondline::granting
