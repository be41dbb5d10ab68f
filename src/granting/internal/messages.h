#pragma once

#include "granting/types/credit.h"
#include "peer/wire.h"
#include "routing/types/advertised_rate.h"
#include "routing/types/reports.h"
#include "routing/types/request_shape.h"
#include "scheduling/types/credit_request.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace almondline::granting {

wire::envelope make_credit_request_message(const std::string& pool,
                                           const scheduling::credit_request& request, bool resent,
                                           steady_time now);

/// Clamps values that are out of range, because they come from another process.
scheduling::credit_request read_credit_request_message(const wire::ask_message& message,
                                                       const std::string& holder, int tier_count,
                                                       steady_time now);

wire::envelope make_refusal_message(const std::string& pool, const std::string& request_id,
                                    const refusal& reason);

refusal read_refusal_message(const wire::refusal_message& message);

wire::envelope make_release_message(const credit& granted, const release_report& report);

release_report read_release_message(const wire::release_message& message);

wire::envelope make_server_report_message(const credit& granted, const server_report& report);

/// Ignores a rate that is not a usable number.
server_report read_server_report_message(const wire::server_report_message& message);

wire::envelope make_start_message(const credit& granted);

wire::advertised_rate make_advertised_rate(const std::string& backend_id,
                                           const routing::advertised_rate& rate, steady_time now);

/// Returns empty if the rate is not a usable number.
std::optional<routing::advertised_rate> read_advertised_rate(const wire::advertised_rate& message,
                                                             steady_time now);

wire::envelope make_confirm_message(const credit& granted);

wire::envelope make_cancel_message(const std::string& pool, const std::string& request_id);

routing::request_shape make_shape(const scheduling::credit_request& request,
                                  std::string failure_domain, steady_time now);

/// Returns "id=score", or "id=state" for a candidate that could not be used.
std::string describe(const routing::candidate& it);

/// Returns descriptions of at most max_count candidates, best first.
std::vector<std::string> describe_best(std::vector<routing::candidate> candidates,
                                       std::size_t max_count);

/// Joins strings with commas.
std::string join(const std::vector<std::string>& parts);

} // namespace almondline::granting
