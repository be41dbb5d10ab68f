#include "gateway/internal/guarded_work.h"

#include <boost/asio/error.hpp>
#include <boost/system/system_error.hpp>
#include <exception>
#include <utility>

namespace almondline::gateway {

namespace asio = boost::asio;

asio::awaitable<void> run_guarded(asio::awaitable<void> work, error_handler on_error)
{
    try {
        co_await std::move(work);
    }
    catch (const boost::system::system_error& e) {
        if (e.code() != asio::error::operation_aborted) {
            on_error(e.what());
        }
    }
    catch (const std::exception& e) {
        on_error(e.what());
    }
}

void log_error(granting::decision_log& decisions, const std::string& request_id,
               std::string_view event, const std::string& reason)
{
    decisions.add(request_id, log_level::error, event,
                  {{"request", request_id}, {"reason", reason}});
}

} // namespace almondline::gateway
