#include "peer/envelope_kind.h"

#include "peer/wire.h"

#include <array>

namespace almondline::peer {

namespace {

constexpr std::array<std::string_view, envelope_kind_count> kind_names{
    "none",          "greeting",   "ping",   "ping_ack", "announcement",    "body_request",
    "body",          "ask",        "grant",  "refusal",  "confirmation",    "release",
    "cancel",        "holdings",   "claim",  "claimed",  "query",           "outcome",
    "explain",       "explained",  "demand", "drain",    "servers_request", "servers",
    "server_report", "quarantine", "start",  "crashes"};

} // namespace

envelope_kind kind_of(const wire::envelope& message)
{
    const auto& set = message.__isset;
    const std::array<bool, envelope_kind_count> is_set{false,
                                                       set.greeting,
                                                       set.ping,
                                                       set.ping_ack,
                                                       set.announcement,
                                                       set.body_request,
                                                       set.body,
                                                       set.ask,
                                                       set.grant,
                                                       set.refusal,
                                                       set.confirmation,
                                                       set.release,
                                                       set.cancel,
                                                       set.holdings,
                                                       set.claim,
                                                       set.claimed,
                                                       set.query,
                                                       set.outcome,
                                                       set.explain,
                                                       set.explained,
                                                       set.demand,
                                                       set.drain,
                                                       set.servers_request,
                                                       set.servers,
                                                       set.server_report,
                                                       set.quarantine,
                                                       set.start,
                                                       set.crashes};
    for (std::size_t n = 1; n < is_set.size(); ++n) {
        if (is_set[n]) {
            return static_cast<envelope_kind>(n);
        }
    }
    return envelope_kind::none;
}

std::string_view to_string(envelope_kind kind)
{
    const auto n = static_cast<std::size_t>(kind);
    return n < kind_names.size() ? kind_names[n] : kind_names[0];
}

} // namespace almondline::peer
