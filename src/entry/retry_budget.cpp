#include "entry/retry_budget.h"

#include <algorithm>

namespace almondline::entry {

namespace {

// Lets a service with little traffic retry a few times.
constexpr double initial_tokens = 5;
constexpr double max_tokens = 20;

} // namespace

void retry_budget::on_first_attempt(const std::string& service, int percent)
{
    const std::lock_guard lock{mutex_};
    auto& tokens = tokens_.try_emplace(service, initial_tokens).first->second;
    tokens = std::min(max_tokens, tokens + percent / 100.0);
}

bool retry_budget::consume(const std::string& service)
{
    const std::lock_guard lock{mutex_};
    auto& tokens = tokens_.try_emplace(service, initial_tokens).first->second;
    if (tokens < 1) {
        return false;
    }
    tokens -= 1;
    return true;
}

} // namespace almondline::entry
