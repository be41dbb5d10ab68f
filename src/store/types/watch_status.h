#pragma once

namespace almondline {

/// How a watch of several records ended.
enum class watch_status {
    done,         ///< all changes after the revision are listed; there may be none
    history_gone, ///< the changes are no longer available; the records must be read again
    failed
};

} // namespace almondline
