#pragma once

#include <set>

namespace almondline::gateway {

struct request_flow;

/// Lists a request in a set until the end of a scope.
class request_entry {
public:
    request_entry(std::set<request_flow*>& requests, request_flow& request)
        : requests_{requests}, request_{&request}
    {
        requests_.insert(request_);
    }
    ~request_entry() { requests_.erase(request_); }
    request_entry(const request_entry&) = delete;
    request_entry& operator=(const request_entry&) = delete;

private:
    std::set<request_flow*>& requests_;
    request_flow* request_;
};

} // namespace almondline::gateway
