#include "fleet/background_worker.h"

#include <atomic>
#include <chrono>
#include <doctest/doctest.h>
#include <memory>
#include <thread>
#include <vector>

using almondline::fleet::background_worker;
using std::chrono::seconds;

TEST_CASE("work runs on another thread in order, and its continuation on the control thread")
{
    boost::asio::io_context control;
    background_worker worker{control};
    const auto control_thread = std::this_thread::get_id();
    std::vector<int> finished;
    std::atomic<bool> is_other_thread{true};
    for (int n = 0; n < 5; ++n) {
        worker.run(
            [&] {
                is_other_thread = is_other_thread && std::this_thread::get_id() != control_thread;
            },
            [&, n] {
                CHECK(std::this_thread::get_id() == control_thread);
                finished.push_back(n);
            });
    }
    while (finished.size() < 5) {
        control.restart();
        REQUIRE(control.run_one_for(seconds{10}) > 0);
    }
    CHECK(finished == std::vector<int>{0, 1, 2, 3, 4});
    CHECK(is_other_thread);
}

TEST_CASE("a worker that is destroyed does not run continuations after the context has ended")
{
    auto control = std::make_unique<boost::asio::io_context>();
    auto worker = std::make_unique<background_worker>(*control);
    std::atomic<bool> is_started{false};
    bool is_done = false;
    worker->run([&] { is_started = true; }, [&] { is_done = true; });
    while (!is_started) {
        std::this_thread::yield();
    }
    worker.reset();
    control.reset();
    CHECK_FALSE(is_done);
}
