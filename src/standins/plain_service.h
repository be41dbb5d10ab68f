#pragma once

#include "common/clock.h"
#include "common/settings.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <memory>
#include <string>

namespace almondline::standins {

struct plain_options {
    ip_endpoint listen{"127.0.0.1", 0};
    std::chrono::milliseconds work{5}; ///< processing time of each call
    std::string journal_path;          ///< file for journal lines, empty: none
};

/// Stand-in for a plain service. Answers each call with its method, its path, the digest of its
/// body and the number of runs of its request id. The io_context must run on one thread.
class plain_service {
public:
    /// Starts to listen. Throws boost::system::system_error if the address can't be bound and
    /// std::runtime_error if the journal file can't be opened.
    plain_service(boost::asio::io_context& io, const clock_source& clock,
                  const plain_options& options);
    ~plain_service();

    std::uint16_t port() const;
    void stop();

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace almondline::standins
