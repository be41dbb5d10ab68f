#include "common/bounded_output.h"

#include <cerrno>
#include <fcntl.h>
#include <unistd.h>

namespace almondline {

bounded_output::bounded_output(int descriptor, std::size_t max_pending_bytes)
    : descriptor_{descriptor}, max_pending_{max_pending_bytes}
{
    const int flags = fcntl(descriptor_, F_GETFL);
    if (flags >= 0) {
        fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
    }
}

bool bounded_output::add(std::string_view line)
{
    if (pending_.size() + line.size() + 1 > max_pending_) {
        ++dropped_;
        return false;
    }
    pending_ += line;
    pending_ += '\n';
    return true;
}

void bounded_output::flush()
{
    std::size_t done = 0;
    while (done < pending_.size()) {
        const auto n = write(descriptor_, pending_.data() + done, pending_.size() - done);
        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n <= 0) {
            break;
        }
        done += static_cast<std::size_t>(n);
    }
    pending_.erase(0, done);
}

} // namespace almondline
