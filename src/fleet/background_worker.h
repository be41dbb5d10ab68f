#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/thread_pool.hpp>
#include <functional>

namespace almondline::fleet {

/// Runs long calculations on a thread of its own, one after the other, so that the control thread
/// keeps answering meanwhile.
class background_worker {
public:
    /// The context runs the control thread and must outlive the object.
    explicit background_worker(boost::asio::io_context& control) : control_{control} {}
    /// Waits for the calculation in progress.
    ~background_worker();
    background_worker(const background_worker&) = delete;
    background_worker& operator=(const background_worker&) = delete;

    /// Runs work on the thread of this object and then done on the control thread. Neither runs if
    /// this object or the context is destroyed before. Work must not throw.
    void run(std::function<void()> work, std::function<void()> done);

private:
    boost::asio::io_context& control_;
    boost::asio::thread_pool pool_{1};
};

} // namespace almondline::fleet
