#include "fleet/node_metrics.h"

#include <string_view>

namespace almondline::fleet {

namespace {

void report_calls(metrics_registry& metrics, const store_call_counts& calls)
{
    const auto set = [&](std::string_view kind, std::uint64_t n) {
        metrics.set("almondline_store_calls_total", {{"kind", kind}}, static_cast<double>(n));
    };
    set("get", calls.gets);
    set("watch", calls.watches);
    set("put", calls.puts);
    set("lease", calls.lease_calls);
    set("failed", calls.failed);
    set("held-back", calls.throttled);
    set("lost-answer", calls.lost_answers);
    set("history-gone", calls.history_gone);
    metrics.set("almondline_store_restores_total", {}, static_cast<double>(calls.restores));
}

void report_distribution(metrics_registry& metrics,
                         const distribution::distribution_counters& counters)
{
    const auto set = [&](std::string_view outcome, std::uint64_t n) {
        metrics.set("almondline_manifest_pulls_total", {{"outcome", outcome}},
                    static_cast<double>(n));
    };
    set("finished", counters.pulls_finished);
    set("abandoned", counters.pulls_abandoned);
    set("postponed", counters.pulls_postponed);
    set("announced-patch", counters.patches_applied);
    metrics.set("almondline_manifest_transfers_refused_total", {},
                static_cast<double>(counters.transfers_refused));
    metrics.set("almondline_manifest_bytes_sent_total", {},
                static_cast<double>(counters.bytes_sent));
    metrics.set("almondline_manifest_bytes_unwanted_total", {},
                static_cast<double>(counters.bytes_unwanted));
}

void report_traffic(metrics_registry& metrics, const peer::peer_counters& traffic)
{
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    for (std::size_t i = 0; i < traffic.sent.size(); ++i) {
        sent += traffic.sent[i].bytes;
        received += traffic.received[i].bytes;
    }
    const auto set = [&](std::string_view direction, std::uint64_t n) {
        metrics.set("almondline_control_bytes_total", {{"direction", direction}},
                    static_cast<double>(n));
    };
    set("sent", sent);
    set("received", received);
}

} // namespace

void report_metrics(metrics_registry& metrics, const node& instance, const store_call_counts& calls)
{
    const auto set = [&](std::string_view name, double value) { metrics.set(name, {}, value); };
    set("almondline_manifest_version", static_cast<double>(instance.manifests.version()));
    set("almondline_members", static_cast<double>(instance.member_count()));
    set("almondline_suspicions_total", static_cast<double>(instance.members.suspicions()));
    set("almondline_deaths_total", static_cast<double>(instance.members.deaths()));
    set("almondline_backend_rates_known",
        static_cast<double>(instance.credit_client.advertised_rate_count()));
    set("almondline_backend_rates_advertised_total",
        static_cast<double>(instance.credit_client.counters().advertised_rates));
    report_calls(metrics, calls);
    report_distribution(metrics, instance.manifests.counters());
    report_traffic(metrics, instance.transport.counters());
}

} // namespace almondline::fleet
