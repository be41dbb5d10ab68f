#pragma once

#include "common/clock.h"
#include "common/settings.h"
#include "standins/internal/engine_model.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace almondline::standins {

struct engine_options {
    ip_endpoint listen{"127.0.0.1", 0};
    engine_speed speed;
    std::vector<std::string> models; ///< loaded at startup; empty: any model is served
    std::size_t cache_blocks = 4096;
    std::size_t max_waiting = 256; ///< further requests are refused before admission
    bool checks_fencing = true;
    std::chrono::milliseconds load_lag{0};
    std::chrono::milliseconds cache_event_lag{0};
    std::size_t cache_event_gap_every = 0; ///< cache events between two gaps, 0: no gaps
    std::chrono::milliseconds tick{2};     ///< interval between batch steps
    std::chrono::milliseconds heartbeat{500};
    std::chrono::milliseconds stream_retention{60'000}; ///< how long ended streams can be resumed
    std::string journal_path;                           ///< file for journal lines, empty: none
};

/// Stand-in for a model engine. The io_context must run on one thread.
class engine_service {
public:
    /// Starts to listen. Throws boost::system::system_error if the address can't be bound and
    /// std::runtime_error if the journal file can't be opened.
    engine_service(boost::asio::io_context& io, const clock_source& clock, engine_options options);
    ~engine_service();

    std::uint16_t port() const;
    void stop();

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace almondline::standins
