#pragma once

namespace almondline {

/// How a watch of several records ended.
enum class watch_status {
    done,         ///< all changes after the revision are named; there may be none
    history_gone, ///< the records have to be read again
    failed
};

} // namespace almondline
