#pragma once

#include "common/clock.h"
#include "manifest/types/manifest_pointer.h"
#include "store/key_value_store.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace almondline {

struct publish_request {
    std::string text;
    std::int64_t based_on = 0; ///< version that the operator's change starts from, 0 for the first
    std::string operator_name; ///< for the history
    std::string publish_id;    ///< unique, from random_id()
};

enum class publish_status {
    published,
    superseded,  ///< published, and replaced by a later version meanwhile
    lost_race,   ///< not published: the version that it was based on is not current
    refused,     ///< not published: invalid text, or the store refused a write
    unreachable, ///< not published: the store can't be read
    undecided    ///< the answer was lost and reading back failed; the publish id settles it later
};

struct publish_result {
    publish_status status = publish_status::refused;
    std::int64_t version = 0;         ///< of this publication, if it took effect
    std::int64_t current_version = 0; ///< in the store when last read
    std::string winner;               ///< lost_race: operator of the current version
    std::string publish_id;
    std::string message;
};

struct publish_options {
    /// Calls the function after the time. Needed to read back while the store is slow or down.
    std::function<void(std::chrono::milliseconds, std::function<void()>)> wait;
    std::chrono::milliseconds settle_interval{500};
    int settle_attempts = 20; ///< reads and repeated writes after a lost answer
};

/// Splits a text into parts of at most max_bytes, without dividing a UTF-8 character: the service
/// returns values as JSON strings.
std::vector<std::string> split_utf8(std::string_view text, std::size_t max_bytes);

/// Publishes a manifest. The body is written under the publish id first, then the pointer is moved
/// by compare-and-swap. After a lost answer the pointer is read back; the write is repeated only if
/// the pointer still has the expected revision, so that at most one of the attempts takes effect.
/// The body of the publication that leaves the history is emptied.
/// The store and the clock must outlive the call; the handler runs once, on the control thread.
void publish_manifest(key_value_store& store, const clock_source& clock, publish_request request,
                      publish_options options, std::function<void(const publish_result&)> handler);

} // namespace almondline
