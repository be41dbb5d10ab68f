#include "store/http_instance_list.h"

#include "common/json.h"
#include "common/log.h"
#include "store/internal/platform_call.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <optional>

namespace almondline {

namespace asio = boost::asio;
using namespace store_internal;

namespace {

std::optional<listed_instance> parse_element(const boost::json::value& element)
{
    listed_instance it;
    it.id = string_or(element, "id");
    it.address = string_or(element, "address");
    it.service = string_or(element, "service");
    it.engine_class = string_or(element, "engine_class");
    it.peer_address = string_or(element, "peer_address");
    it.failure_domain = string_or(element, "failure_domain");
    it.is_leaving = string_or(element, "state") == "leaving";
    const auto role = string_or(element, "role");
    if (it.id.empty() || (role != "entry" && role != "backend")) {
        return std::nullopt;
    }
    it.role = role == "entry" ? instance_role::entry : instance_role::backend;
    ip_endpoint ignored;
    if (!parse_endpoint(it.address, ignored) ||
        (!it.peer_address.empty() && !parse_endpoint(it.peer_address, ignored))) {
        return std::nullopt;
    }
    return it;
}

} // namespace

instance_list_result parse_instance_list(std::string_view body)
{
    instance_list_result result;
    const auto parsed = parse_json(body);
    const auto* list =
        parsed && parsed->is_object() ? parsed->as_object().if_contains("instances") : nullptr;
    if (list == nullptr || !list->is_array()) {
        result.message = "the response contains no \"instances\" array";
        return result;
    }
    for (const auto& element : list->get_array()) {
        auto it = parse_element(element);
        if (!it) {
            log_event("store", log_level::warning, "instance-list-line-ignored",
                      {{"id", string_or(element, "id")}, {"role", string_or(element, "role")}});
            continue;
        }
        result.instances.push_back(std::move(*it));
    }
    result.is_ok = true;
    return result;
}

struct http_instance_list::state : std::enable_shared_from_this<state> {
    state(asio::any_io_executor control, std::vector<ip_endpoint> addresses, http_timeouts limit)
        : executor{std::move(control)}, ring{std::move(addresses)}, timeouts{limit}
    {
    }

    asio::awaitable<void> run(handler done)
    {
        const auto self = shared_from_this();
        http_request request;
        request.target = "/v1/instances";
        const std::function<void()> count = [] {};
        const auto answer = co_await call_read(ring, request, timeouts, count);
        instance_list_result result;
        if (answer.progress == http_progress::complete && answer.response.status == 200) {
            result = parse_instance_list(answer.response.body);
        }
        else {
            result.message = describe_failure(answer);
        }
        if (!is_closed) {
            done(result);
        }
    }

    asio::any_io_executor executor;
    address_ring ring;
    http_timeouts timeouts;
    bool is_closed = false;
};

http_instance_list::http_instance_list(asio::any_io_executor executor,
                                       std::vector<ip_endpoint> addresses, http_timeouts timeouts)
    : state_{std::make_shared<state>(std::move(executor), std::move(addresses), timeouts)}
{
}

http_instance_list::~http_instance_list()
{
    state_->is_closed = true;
}

void http_instance_list::fetch(handler done)
{
    asio::post(state_->executor, [self = state_, done = std::move(done)] {
        asio::co_spawn(self->executor, self->run(done), asio::detached);
    });
}

} // namespace almondline
