#pragma once

#include "http/client.h"
#include "store/key_value_store.h"

namespace almondline::store_internal {

/// Each converts the HTTP result of one call to the key-value service.
get_result to_get_result(const http_result& result);
put_result to_put_result(const http_result& result);
lease_result to_lease_result(const http_result& result, const std::string& lease_id);

} // namespace almondline::store_internal
