#pragma once

#include "manifest/types/manifest_pointer.h"
#include "store/key_value_store.h"

#include <cstdint>
#include <functional>
#include <string>

namespace almondline {

enum class fetch_status {
    found,
    missing, ///< nothing has been published
    failed   ///< the store did not answer, or the records are inconsistent
};

struct fetch_result {
    fetch_status status = fetch_status::failed;
    manifest_pointer pointer;
    std::uint64_t revision = 0; ///< of the pointer, for a watch
    std::string text;           ///< matches the digest in the pointer
    std::string message;        ///< cause of a failure
};

/// Reads the pointer and the body of the current manifest. The store must outlive the call; the
/// handler runs once, on the control thread.
void fetch_manifest(key_value_store& store, std::function<void(const fetch_result&)> handler);

/// Reads the body of a pointer record that a watch returned.
void fetch_manifest_body(key_value_store& store, const get_result& pointer_record,
                         std::function<void(const fetch_result&)> handler);

/// Reads the body of an earlier publication. Only status, text and message are filled in.
void fetch_publication(key_value_store& store, const publication& wanted,
                       std::function<void(const fetch_result&)> handler);

} // namespace almondline
