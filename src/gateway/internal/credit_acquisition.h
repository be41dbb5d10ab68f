#pragma once

#include "granting/types/credit.h"

#include <boost/asio/awaitable.hpp>
#include <string>

/// Asking for credits and confirming them.
namespace almondline::gateway {

struct gateway_context;
struct request_credits;
struct request_flow;

/// Requests a credit under an id, and again while the pool has no owner.
boost::asio::awaitable<granting::credit_result> request_credit(request_flow& flow,
                                                               std::string credit_id);

/// Returns false if the credit has expired or its server must not be used any more.
bool confirm_credit(gateway_context& context, request_credits& credits,
                    const granting::credit& granted);

void return_unused(gateway_context& context, const granting::credit& granted);

} // namespace almondline::gateway
