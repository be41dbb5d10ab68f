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
    std::int64_t based_on = 0; ///< version that the change was made from, 0 for the first
    std::string operator_name; ///< for the history
    std::string publish_id;    ///< unique, from random_id()
};

enum class publish_status {
    published,
    superseded,  ///< published, and since replaced by a later version
    lost_race,   ///< not published: the version that it was based on is not current
    refused,     ///< not published: invalid text, or the store refused a write
    unreachable, ///< not published: the store can't be read
    /// The response was lost and reading back did not show the outcome. A later read may find the
    /// publish id.
    undecided
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
    /// Calls the function after the delay. Required for retries while the store is slow or down.
    std::function<void(std::chrono::milliseconds, std::function<void()>)> wait;
    std::chrono::milliseconds retry_interval{500};
    /// Reads and retried writes after a lost response, counted separately for the body and for the
    /// pointer.
    int max_retries = 20;
};

/// Splits a text into parts of at most max_bytes without splitting a UTF-8 character, because the
/// service returns values as JSON strings.
std::vector<std::string> split_utf8(std::string_view text, std::size_t max_bytes);

/// Publishes a manifest. Writes the body under the publish id, then updates the pointer by
/// compare-and-swap. After a lost response, reads the pointer back and retries the write only if
/// the pointer still has the expected revision, so that at most one of the attempts takes effect.
/// Clears the body of the publication that is dropped from the history.
/// The store and the clock must outlive the call; the handler runs once, on the control thread.
void publish_manifest(key_value_store& store, const clock_source& clock, publish_request request,
                      publish_options options, std::function<void(const publish_result&)> handler);

} // namespace almondline
