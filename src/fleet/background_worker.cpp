#include "fleet/background_worker.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <utility>

namespace almondline::fleet {

namespace asio = boost::asio;

background_worker::~background_worker()
{
    pool_.stop();
    pool_.join();
}

void background_worker::run(std::function<void()> work, std::function<void()> done)
{
    // The guard keeps the context running until it has the continuation.
    asio::post(pool_, [this, work = std::move(work), done = std::move(done),
                       guard = asio::make_work_guard(control_)]() mutable {
        work();
        asio::post(control_, std::move(done));
    });
}

} // namespace almondline::fleet
