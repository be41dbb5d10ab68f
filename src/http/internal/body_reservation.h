#pragma once

#include <atomic>
#include <cstdint>

namespace almondline {

/// Share of a common budget of bytes, returned at the end of its lifetime.
class body_reservation {
public:
    body_reservation(std::atomic<std::uint64_t>& used, std::uint64_t limit, std::uint64_t bytes)
        : used_{used}, bytes_{bytes}
    {
        is_granted_ = used_.fetch_add(bytes_) + bytes_ <= limit;
    }
    ~body_reservation() { used_.fetch_sub(bytes_); }
    body_reservation(const body_reservation&) = delete;
    body_reservation& operator=(const body_reservation&) = delete;

    bool is_granted() const { return is_granted_; }

private:
    std::atomic<std::uint64_t>& used_;
    std::uint64_t bytes_;
    bool is_granted_ = false;
};

} // namespace almondline
