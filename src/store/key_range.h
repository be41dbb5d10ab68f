#pragma once

#include "store/types/store_health.h"
#include "store/types/watch_status.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace almondline {

struct stored_record {
    std::string key;
    std::string value;
    std::uint64_t revision = 0; ///< of its last change
};

struct range_result {
    bool is_ok = false;
    std::vector<stored_record> records;
    std::uint64_t revision = 0; ///< of the whole store at the read
    std::uint64_t era = 0;      ///< see key_value_store::era()
    std::string message;        ///< cause of a failure
};

struct record_change {
    stored_record record; ///< without a value if it was removed
    bool is_removed = false;
};

struct range_watch_result {
    watch_status status = watch_status::failed;
    std::uint64_t revision = 0;         ///< the next watch starts after it
    std::uint64_t era = 0;              ///< see key_value_store::era()
    std::vector<record_change> changes; ///< in order
    std::string message;                ///< cause of a failure
};

/// Reads all records of the platform's key-value service whose keys have a prefix.
class key_range_reader {
public:
    using range_handler = std::function<void(const range_result&)>;
    using range_watch_handler = std::function<void(const range_watch_result&)>;

    virtual ~key_range_reader() = default;
    /// The handler runs on the control thread, exactly once, never from within the call.
    virtual void read_range(const std::string& prefix, range_handler handler) = 0;
    /// Waits for changes after the revision, at most for the given time. The handler runs as for
    /// read_range.
    virtual void watch_range(const std::string& prefix, std::uint64_t after_revision,
                             std::chrono::milliseconds wait, range_watch_handler handler) = 0;
    /// Returns the times of the latest calls of any kind that were answered and that failed.
    virtual store_health health() const = 0;

protected:
    key_range_reader() = default;
    key_range_reader(const key_range_reader&) = default;
    key_range_reader& operator=(const key_range_reader&) = default;
};

} // namespace almondline
