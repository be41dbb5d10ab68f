#include "bench/internal/control_scale.h"

#include "idempotency/internal/claim_record.h"
#include "idempotency/outcome_table.h"
#include "idempotency/range_owner.h"

#include <algorithm>
#include <stdexcept>

namespace almondline::bench {

namespace {

constexpr double seconds_per_day = 86'400;
constexpr double ns_per_second = 1e9;
/// A message between instances is sent by one and received by another.
constexpr double both_directions = 2;
constexpr double max_waiting = 1000;  ///< credit requests of a slice; default of the manifest
constexpr double kept_lines = 10'000; ///< default of the decision log
/// Share of requests with a caller-chosen key; an assumption.
constexpr double caller_chosen_share = 0.01;
constexpr double placement_candidates = 2; ///< as in src/entry
constexpr double demand_interval_s = 1;
constexpr double plan_interval_s = 1;
constexpr double watch_wait_s = 30;
constexpr double id_bytes = 32; ///< of each id in a claim

/// Evaluates the linear fits of figures and records whether a size was outside the measured range.
class fit_reader {
public:
    explicit fit_reader(const std::vector<control_role>& roles) : roles_{roles} {}

    double at(const std::string& role, const std::string& figure, double size)
    {
        const control_series& series = find(role, figure);
        const auto [low, high] = std::minmax_element(series.sizes.begin(), series.sizes.end());
        is_extrapolated = is_extrapolated || size < *low || size > *high;
        const line_fit fit = fit_line(series.sizes, series.values);
        return std::max(0.0, fit.intercept + fit.slope * size);
    }

    bool is_extrapolated = false;

private:
    const control_series& find(const std::string& role, const std::string& figure) const
    {
        for (const control_role& it : roles_) {
            for (const control_series& series : it.series) {
                if (it.name == role && series.figure == figure) {
                    return series;
                }
            }
        }
        throw std::runtime_error{"no measured control figure " + role + "/" + figure};
    }

    const std::vector<control_role>& roles_;
};

double retention_s()
{
    return std::chrono::duration<double>{idempotency::owner_config{}.retention}.count();
}

/// Returns the number of claims that all key-range records together can hold.
double record_capacity(const std::vector<control_role>& roles)
{
    fit_reader fits{roles};
    constexpr double size = 8000; // claims; the slope needs two sizes
    const double bytes_per_claim =
        (fits.at("idempotency", "record", size) - fits.at("idempotency", "record", size / 2)) /
        (size / 2);
    return idempotency::range_count *
           static_cast<double>(idempotency::owner_config{}.max_record_bytes) /
           std::max(1.0, bytes_per_claim);
}

double slice_count(const fleet_scale& scale)
{
    return std::max(1.0, scale.replicas / scale.replicas_per_slice);
}

control_cost granter_cost(const std::vector<control_role>& roles, const fleet_scale& scale,
                          const std::string& load, double load_factor)
{
    fit_reader fits{roles};
    const double rate = load_factor * scale.requests_per_second / slice_count(scale);
    control_cost cost{"granter, " + load};
    cost.core_share = fits.at("granting", load + " granter time", rate) * rate / ns_per_second;
    cost.bytes_per_second = fits.at("granting", load + " bytes", rate) * rate;
    cost.memory_bytes = fits.at("granting", "memory of asks", max_waiting) +
                        fits.at("granting", "memory of replicas", scale.replicas_per_slice);
    cost.is_extrapolated = fits.is_extrapolated;
    return cost;
}

control_cost holder_cost(const std::vector<control_role>& roles, const fleet_scale& scale,
                         const std::string& load, double load_factor)
{
    fit_reader fits{roles};
    const double rate = load_factor * scale.requests_per_second / scale.instances;
    control_cost cost{"holder, " + load};
    cost.memory_bytes = fits.at("granting", "memory of an asker", max_waiting);
    cost.core_share = fits.at("granting", load + " holder time", rate) * rate / ns_per_second;
    cost.bytes_per_second = fits.at("granting", load + " bytes", rate) * rate;
    cost.is_extrapolated = fits.is_extrapolated;
    return cost;
}

control_cost membership_cost(const std::vector<control_role>& roles, const fleet_scale& scale)
{
    fit_reader fits{roles};
    const double size = scale.instances;
    const double failures = scale.member_changes_per_day / seconds_per_day;
    control_cost cost{"membership"};
    cost.core_share = fits.at("membership", "time", size) / ns_per_second;
    cost.memory_bytes = fits.at("membership", "memory", size);
    cost.bytes_per_second =
        both_directions * (fits.at("membership", "bytes sent", size) +
                           failures * fits.at("membership", "bytes sent for a failure", size));
    cost.is_extrapolated = fits.is_extrapolated;
    return cost;
}

control_cost manifest_cost(const std::vector<control_role>& roles, const fleet_scale& scale)
{
    fit_reader fits{roles};
    const double changes = scale.changes_per_day / seconds_per_day;
    const double text = fits.at("manifest", "text", scale.accounts);
    const std::string by_text = "text bytes";
    control_cost cost{"manifest and distribution"};
    cost.core_share = changes *
                      (fits.at("manifest", "parse", scale.accounts) +
                       fits.at("distribution", "time by " + by_text, text)) /
                      ns_per_second;
    // The state and the distributor each keep a copy of the text.
    cost.memory_bytes = fits.at("manifest", "memory", scale.accounts) + 2 * text;
    cost.bytes_per_second =
        both_directions * changes * fits.at("distribution", "bytes sent by " + by_text, text);
    // The figures by text size exist for 32 members only.
    cost.is_extrapolated = true;
    return cost;
}

control_cost idempotency_cost(const std::vector<control_role>& roles, const fleet_scale& scale)
{
    fit_reader fits{roles};
    const double claims = caller_chosen_share * scale.requests_per_second / scale.instances;
    const idempotency::outcome_limits limits;
    const double outcomes =
        std::min(static_cast<double>(limits.max_entries), claims * seconds_per_day);
    control_cost cost{"idempotency"};
    const double held = std::min(scale.instances * claims * retention_s(), record_capacity(roles)) /
                        scale.instances;
    cost.core_share = claims * fits.at("idempotency", "time", claims) / ns_per_second;
    cost.memory_bytes = fits.at("idempotency", "memory of outcomes", outcomes) +
                        static_cast<double>(limits.max_body_bytes) +
                        fits.at("idempotency", "memory of records", held);
    // An instance is the holder of some claims and the owner of others.
    cost.bytes_per_second =
        both_directions * claims *
        (fits.at("frames", "claim bytes", id_bytes) + fits.at("frames", "claimed bytes", id_bytes));
    cost.is_extrapolated = fits.is_extrapolated;
    return cost;
}

control_cost decision_cost(const std::vector<control_role>& roles)
{
    // The time is contained in the granting figures, whose runs write real decision records.
    fit_reader fits{roles};
    control_cost cost{"decision log"};
    cost.memory_bytes = fits.at("decision log", "memory of lines", kept_lines);
    cost.is_extrapolated = fits.is_extrapolated;
    return cost;
}

control_cost reports_cost(const std::vector<control_role>& roles, const fleet_scale& scale)
{
    fit_reader fits{roles};
    const double rate = placement_candidates / demand_interval_s;
    control_cost cost{"reports to placement"};
    cost.core_share =
        rate * fits.at("frames", "demand encode", scale.replicas_per_slice) / ns_per_second;
    cost.bytes_per_second = rate * fits.at("frames", "demand bytes", scale.replicas_per_slice);
    cost.is_extrapolated = fits.is_extrapolated;
    return cost;
}

control_cost placement_cost(const std::vector<control_role>& roles, const fleet_scale& scale)
{
    fit_reader fits{roles};
    const double reports = slice_count(scale) / demand_interval_s;
    control_cost cost{"placement candidate"};
    cost.core_share = (fits.at("placement", "plan", scale.replicas) / plan_interval_s +
                       reports * fits.at("frames", "demand decode", scale.replicas_per_slice)) /
                      ns_per_second;
    cost.memory_bytes = fits.at("placement", "memory", scale.replicas);
    cost.bytes_per_second = reports * fits.at("frames", "demand bytes", scale.replicas_per_slice);
    cost.is_extrapolated = fits.is_extrapolated;
    return cost;
}

void add(control_cost& sum, const control_cost& cost)
{
    sum.core_share += cost.core_share;
    sum.memory_bytes += cost.memory_bytes;
    sum.bytes_per_second += cost.bytes_per_second;
    sum.is_extrapolated = sum.is_extrapolated || cost.is_extrapolated;
}

} // namespace

fleet_scale two_year_scale()
{
    return {"two years", 3900, 30, 10'000, 10'000.0 / 3900, 70'000, 840, 32'000, 250 + 1400};
}

fleet_scale today_scale()
{
    // No request rate is known for today; 7 requests/s per replica are assumed, as in two years.
    // One change per hour and one restart per instance and day are assumptions too.
    return {"today", 8, 3, 12, 12, 84, 5, 24, 8};
}

bool is_within(const control_cost& cost, const control_budget& budget)
{
    return cost.core_share <= budget.core_share && cost.memory_bytes <= budget.memory_bytes &&
           cost.bytes_per_second <= budget.bytes_per_second;
}

std::vector<control_cost> control_costs(const std::vector<control_role>& roles,
                                        const fleet_scale& scale)
{
    constexpr double overload_factor = 2;
    std::vector<control_cost> all{granter_cost(roles, scale, "steady", 1),
                                  holder_cost(roles, scale, "steady", 1),
                                  membership_cost(roles, scale),
                                  manifest_cost(roles, scale),
                                  idempotency_cost(roles, scale),
                                  decision_cost(roles),
                                  reports_cost(roles, scale)};
    control_cost ordinary{"sum, ordinary instance"};
    for (const control_cost& it : all) {
        add(ordinary, it);
    }
    all.push_back(placement_cost(roles, scale));
    control_cost candidate = ordinary;
    candidate.name = "sum, placement candidate";
    add(candidate, all.back());
    all.push_back(granter_cost(roles, scale, "overload", overload_factor));
    all.push_back(holder_cost(roles, scale, "overload", overload_factor));
    all.push_back(ordinary);
    all.push_back(candidate);
    return all;
}

std::vector<store_load> store_loads(const std::vector<control_role>& roles,
                                    const fleet_scale& scale)
{
    fit_reader fits{roles};
    const std::string role = "store calls";
    const double domains = scale.failure_domains;
    const double changes = scale.changes_per_day / seconds_per_day;
    const double claims = caller_chosen_share * scale.requests_per_second;
    const double watches = fits.at(role, "fleet watches at rest", domains);
    std::vector<store_load> all;
    all.push_back({"manifest watches at rest",
                   watches + fits.at(role, "fleet gets at rest", domains), 0,
                   watches * watch_wait_s});
    all.push_back({"manifest changes",
                   changes * (fits.at(role, "fleet watches for a change", domains) +
                              fits.at(role, "fleet gets for a change", domains) +
                              fits.at(role, "publication gets", scale.accounts)),
                   changes * fits.at(role, "publication writes", scale.accounts), 0});
    all.push_back({"claims", claims * fits.at("idempotency", "reads", claims),
                   claims * fits.at("idempotency", "writes", claims), 0});
    all.push_back({"placement lease", fits.at(role, "placement gets", placement_candidates),
                   fits.at(role, "placement lease renewals", placement_candidates) +
                       fits.at(role, "placement writes", placement_candidates),
                   0});
    store_load total{"sum"};
    for (const store_load& it : all) {
        total.reads += it.reads;
        total.writes += it.writes;
        total.pending_watches += it.pending_watches;
    }
    all.push_back(total);
    return all;
}

double sustained_claims(const std::vector<control_role>& roles)
{
    return record_capacity(roles) / retention_s();
}

} // namespace almondline::bench
