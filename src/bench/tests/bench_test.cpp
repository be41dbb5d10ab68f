#include "bench/internal/measure.h"
#include "bench/internal/report.h"
#include "bench/internal/slopes.h"

#include <doctest/doctest.h>

using namespace almondline::bench;

namespace {

scenario_config short_scenario()
{
    scenario_config scenario;
    scenario.name = "short";
    scenario.streams = {{20, {0.2, 0.5, 0.3}, {0.4, 0.3, 0.15, 0.1, 0.05}, 0, 20, 3}};
    scenario.duration = 30;
    scenario.window_from = 0;
    scenario.window_to = 30;
    return scenario;
}

} // namespace

TEST_CASE("the same seed gives the same figures with every policy")
{
    for (const named_policy& each : all_policies()) {
        CAPTURE(each.name);
        simulation first{goldfields(), short_scenario(), each.make};
        simulation second{goldfields(), short_scenario(), each.make};
        const run_results a = first.run();
        const run_results b = second.run();
        CHECK(a.finished == b.finished);
        CHECK(a.prefilled == b.prefilled);
        CHECK(a.gaps == b.gaps);
        CHECK(a.message_bytes == b.message_bytes);
        CHECK(a.finished[1] > 50);
    }
}

TEST_CASE("shedding while a lower tier waits counts as an inversion, the reverse does not")
{
    run_results results;
    results.window_to = 100;
    simulated_request request;
    request.tier = 1;
    request.end = outcome::shed;
    results.waiting = {3, 1, 0};
    results.add_refusal(request);
    CHECK(results.inversions == 0);
    results.waiting = {0, 1, 1};
    results.add_refusal(request);
    CHECK(results.inversions == 1);
    request.end = outcome::deadline;
    results.add_refusal(request);
    CHECK(results.inversions == 1);
    CHECK(results.deadline_above_waiting == 1);
}

TEST_CASE("a missed target is reported as missed")
{
    deployment_measurements all;
    all.deployment = goldfields();
    all.capacity_cost = 1000;
    for (const char* name : {"base-50", "flood-lowest", "flood-urgent", "steady-85", "small-alone",
                             "small-beside-large"}) {
        measurement run{"goldfields", name, "almondline", {}};
        run.results.window_to = 100;
        run.results.finished = {100, 100, 100};
        run.results.offered_cost = {1e6, 1e6, 1e6};
        all.runs.push_back(run);
    }
    all.runs[1].results.finished[0] = 97;
    all.runs[1].results.inversions = 1;
    all.runs[3].results.first_tokens[0] = {1.5};
    int missed = 0;
    for (const target_result& each : check_targets(all)) {
        missed += each.is_met ? 0 : 1;
    }
    CHECK(missed >= 5);
    CHECK(format_targets(check_targets(all)).find("missed  goldfields: urgent goodput") !=
          std::string::npos);
}

TEST_CASE("the fitted line and its residual match points on and off a line")
{
    const line_fit exact = fit_line({1, 2, 3, 4}, {5, 7, 9, 11});
    CHECK(exact.slope == doctest::Approx(2));
    CHECK(exact.intercept == doctest::Approx(3));
    CHECK(exact.residual == doctest::Approx(0));
    CHECK(fit_line({1, 2, 3}, {1, 2, 6}).residual > 0.5);
}
