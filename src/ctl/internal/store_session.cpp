#include "ctl/internal/store_session.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>

namespace almondline::ctl {

store_session::store_session(const ctl_context& context)
    : clock_{context.clock}, store_{io_.get_executor(),
                                    context.options.store_addresses,
                                    {},
                                    context.clock}
{
}

fetch_result store_session::fetch_current()
{
    fetch_result result;
    fetch_manifest(store_, [&](const fetch_result& it) { result = it; });
    io_.restart();
    io_.run();
    return result;
}

fetch_result store_session::fetch_body(const publication& wanted)
{
    fetch_result result;
    fetch_publication(store_, wanted, [&](const fetch_result& it) { result = it; });
    io_.restart();
    io_.run();
    return result;
}

publish_result store_session::publish(publish_request request)
{
    publish_options options;
    options.wait = [this](std::chrono::milliseconds time, std::function<void()> action) {
        auto timer = std::make_shared<boost::asio::steady_timer>(io_, time);
        timer->async_wait([timer, action = std::move(action)](const auto&) { action(); });
    };
    publish_result result;
    publish_manifest(store_, clock_, std::move(request), std::move(options),
                     [&](const publish_result& it) { result = it; });
    io_.restart();
    io_.run();
    return result;
}

} // namespace almondline::ctl
