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
constexpr double max_waiting = 1000;         ///< asks of a slice, default of the manifest
constexpr double kept_lines = 10'000;        ///< default of the decision log
constexpr double caller_chosen_share = 0.01; ///< of the requests; an assumption
constexpr double placement_candidates = 2;   ///< as in the entry
constexpr double demand_interval_s = 1;
constexpr double plan_interval_s = 1;
constexpr double watch_wait_s = 30;
constexpr double id_bytes = 32; ///< of a claim

/// Reads figures from the fits and notes whether a size was outside of the measured ones.
class fit_reader {
public:
    explicit fit_reader(const std::vector<control_role>& roles) : roles_{roles} {}

    double at(const std::string& role, const std::string& figure, double size)
    {
        const control_line& line = find(role, figure);
        const auto [low, high] = std::minmax_element(line.sizes.begin(), line.sizes.end());
        is_extrapolated = is_extrapolated || size < *low || size > *high;
        const line_fit fit = fit_line(line.sizes, line.values);
        return std::max(0.0, fit.intercept + fit.slope * size);
    }

    bool is_extrapolated = false;

private:
    const control_line& find(const std::string& role, const std::string& figure) const
    {
        for (const control_role& it : roles_) {
            for (const control_line& line : it.lines) {
                if (it.name == role && line.figure == figure) {
                    return line;
                }
            }
        }
        throw std::runtime_error{"no figure " + role + "/" + figure};
    }

    const std::vector<control_role>& roles_;
};

double retention_s()
{
    return std::chrono::duration<double>{idempotency::owner_config{}.retention}.count();
}

/// Claims that the key-range records can hold.
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
    // The state and the distributor keep a copy of the text each.
    cost.memory_bytes = fits.at("manifest", "memory", scale.accounts) + 2 * text;
    cost.bytes_per_second =
        both_directions * changes * fits.at("distribution", "bytes sent by " + by_text, text);
    // Measured with 32 members only.
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
    // As the holder of some claims and as the owner of others.
    cost.bytes_per_second =
        both_directions * claims *
        (fits.at("frames", "claim bytes", id_bytes) + fits.at("frames", "claimed bytes", id_bytes));
    cost.is_extrapolated = fits.is_extrapolated;
    return cost;
}

control_cost decision_cost(const std::vector<control_role>& roles)
{
    // The time is part of the granting lines, which write real lines.
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

void add(control_cost& to, const control_cost& one)
{
    to.core_share += one.core_share;
    to.memory_bytes += one.memory_bytes;
    to.bytes_per_second += one.bytes_per_second;
    to.is_extrapolated = to.is_extrapolated || one.is_extrapolated;
}

} // namespace

fleet_scale two_year_scale()
{
    return {"two years", 3900, 30, 10'000, 10'000.0 / 3900, 70'000, 840, 32'000, 250 + 1400};
}

fleet_scale today_scale()
{
    // No rate is stated for today: 7 requests/s for each replica, as in two years. One change an
    // hour and one restart of each instance a day are assumptions too.
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
