#pragma once

#include "fleet/node.h"
#include "fleet/registration.h"
#include "fleet/server_list.h"
#include "gateway/gateway_settings.h"

#include <string>

/// Settings of the parts that a gateway consists of.
namespace almondline::gateway {

/// Returns the settings of what the instance shares with its peers.
fleet::node_settings make_node_settings(const gateway_settings& settings,
                                        const membership::member& self,
                                        const fleet::manifest_source& manifests);

fleet::server_list_settings make_server_list_settings(const gateway_settings& settings);

/// Returns the settings of the instance's own record in the store.
fleet::registration_settings make_registration(std::string key, std::string value);

} // namespace almondline::gateway
