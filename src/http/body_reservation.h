#pragma once

#include <atomic>
#include <cstdint>

namespace almondline {

/// Reservation of bytes in a shared budget, released on destruction.
class body_reservation {
public:
    /// `used` counts the bytes reserved in the whole budget and must outlive the reservation. The
    /// bytes may be used only if is_granted() returns true.
    body_reservation(std::atomic<std::uint64_t>& used, std::uint64_t limit, std::uint64_t bytes)
        : used_{used}, limit_{limit}, bytes_{bytes}
    {
        is_granted_ = used_.fetch_add(bytes_) + bytes_ <= limit_;
    }
    ~body_reservation() { used_.fetch_sub(bytes_); }
    body_reservation(const body_reservation&) = delete;
    body_reservation& operator=(const body_reservation&) = delete;

    bool is_granted() const { return is_granted_; }

    /// Changes the reservation to this many bytes. Returns false, and changes nothing, if an
    /// increase would exceed the limit of the budget.
    bool resize(std::uint64_t bytes)
    {
        // Unsigned arithmetic wraps around, so a decrease adds a negative amount.
        const std::uint64_t added = bytes - bytes_;
        const bool is_over = used_.fetch_add(added) + added > limit_;
        if (is_over && bytes > bytes_) {
            used_.fetch_sub(added);
            return false;
        }
        bytes_ = bytes;
        return true;
    }

private:
    std::atomic<std::uint64_t>& used_;
    std::uint64_t limit_;
    std::uint64_t bytes_;
    bool is_granted_ = false;
};

} // namespace almondline
