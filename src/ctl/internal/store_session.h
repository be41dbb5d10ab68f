#pragma once

#include "ctl/types/ctl_context.h"
#include "manifest/fetch.h"
#include "manifest/publish.h"
#include "store/http_key_value_store.h"

#include <boost/asio/io_context.hpp>

namespace almondline::ctl {

/// Store client for one command. Each call blocks until it is complete.
class store_session {
public:
    explicit store_session(const ctl_context& context);

    fetch_result fetch_current();
    fetch_result fetch_body(const publication& wanted);
    publish_result publish(publish_request request);

private:
    const clock_source& clock_;
    boost::asio::io_context io_;
    http_key_value_store store_;
};

} // namespace almondline::ctl
