#pragma once

#include "granting/types/credit.h"
#include "peer/wire.h"
#include "routing/types/reports.h"
#include "routing/types/request_shape.h"
#include "scheduling/types/credit_request.h"

#include <cstddef>
#include <string>
#include <vector>

namespace almondline::granting {

wire::envelope make_credit_request_message(const std::string& pool,
                                           const scheduling::credit_request& what, bool resent,
                                           steady_time now);

/// Values out of range are brought into it: they come from another process.
scheduling::credit_request read_credit_request_message(const wire::ask_message& message,
                                                       const std::string& holder, int tier_count,
                                                       steady_time now);

wire::envelope make_refusal_message(const std::string& pool, const std::string& request_id,
                                    const refusal& why);

refusal read_refusal_message(const wire::refusal_message& message);

wire::envelope make_release_message(const credit& what, const release_report& report);

release_report read_release_message(const wire::release_message& message);

wire::envelope make_confirm_message(const credit& what);

wire::envelope make_cancel_message(const std::string& pool, const std::string& request_id);

routing::request_shape make_shape(const scheduling::credit_request& what,
                                  std::string failure_domain, steady_time now);

/// "id=score", or "id=state" for one that could not be used.
std::string describe(const routing::candidate& it);

/// Descriptions of the best candidates, best first, at most as many as given.
std::vector<std::string> describe_best(std::vector<routing::candidate> candidates,
                                       std::size_t max_count);

std::string join(const std::vector<std::string>& parts);

} // namespace almondline::granting
