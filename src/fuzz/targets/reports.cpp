#include "backend/reports.h"

#include "fuzz/invariant.h"
#include "fuzz/targets.h"
#include "routing/routing.h"

#include <cmath>

namespace almondline::fuzz {

namespace {

constexpr steady_time start{std::chrono::hours{1}};

routing::replica_table make_table()
{
    routing::replica_table table;
    routing::replica_spec spec;
    spec.id = "r";
    spec.address = "127.0.0.1:1";
    spec.engine_class = "g1";
    spec.prefill_rate = 1000;
    spec.decode_rate = 50;
    spec.max_in_flight = 8;
    spec.kv_tokens = 10'000;
    update_replica(table, spec, start);
    return table;
}

void check_load(const routing::load_report& report)
{
    require(report.age.count() >= 0 && report.running >= 0 && report.waiting >= 0,
            "the counts of a load report are not negative");
    require(std::isfinite(report.kv_used_tokens) && std::isfinite(report.kv_capacity_tokens),
            "the tokens of a load report are finite");
    auto table = make_table();
    on_load_report(table, "r", report, start);
    const auto taken = table.replicas.front().report_taken;
    require(taken <= start, "the time of a report is not in the future");
    // A report in the far past or future would hide all later ones.
    routing::load_report later;
    later.running = 3;
    on_load_report(table, "r", later, start + std::chrono::seconds{1});
    require(table.replicas.front().reported_others == 3, "a later report takes effect");
}

void check_events(const routing::cache_events& batch)
{
    constexpr std::uint64_t highest = std::uint64_t{1} << 63U;
    require(batch.first_sequence < highest && batch.next_sequence < highest,
            "sequence numbers are not negative");
    auto table = make_table();
    on_cache_events(table, "r", batch, start);
    const auto last = last_cache_event(table, "r");
    for (const auto& it : batch.events) {
        require(it.sequence <= last, "events that were read are not requested again");
    }
    on_cache_events(table, "r", batch, start);
    require(last_cache_event(table, "r") == last,
            "applying the same events again does not change the last sequence number");
}

} // namespace

void fuzz_reports(std::string_view input)
{
    if (const auto report = backend::parse_load_report(input)) {
        check_load(*report);
    }
    if (const auto batch = backend::parse_cache_events(input)) {
        check_events(*batch);
    }
}

} // namespace almondline::fuzz
