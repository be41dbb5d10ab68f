#include "bench/internal/control_scale.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <iterator>

namespace almondline::bench {

namespace {

constexpr double store_writes_per_second = 300; ///< stated as "several hundred"
constexpr double store_reads_per_second = 2000;

template <class... Values>
std::string format_text(const char* format, Values... values)
{
    char text[400];
    std::snprintf(text, sizeof text, format, values...);
    return text;
}

std::string format_series(const control_series& series)
{
    std::string text = format_text("%s, %s (%s) by %s:", series.role.c_str(), series.figure.c_str(),
                                   series.unit.c_str(), series.variable.c_str());
    for (std::size_t i = 0; i < series.sizes.size(); ++i) {
        text += format_text("  %.0f: %.4g", series.sizes[i], series.values[i]);
    }
    const line_fit fit = fit_line(series.sizes, series.values);
    text +=
        format_text("\n  %.5g + %.5g * n, residual %.3g", fit.intercept, fit.slope, fit.residual);
    if (series.sizes.front() > 0) {
        std::vector<double> logs;
        std::transform(series.sizes.begin(), series.sizes.end(), std::back_inserter(logs),
                       [](double size) { return std::log2(size); });
        const line_fit log_fit = fit_line(logs, series.values);
        text += format_text(";  %.5g + %.5g * log2(n), residual %.3g", log_fit.intercept,
                            log_fit.slope, log_fit.residual);
    }
    return text + "\n";
}

std::string format_costs(const std::vector<control_role>& roles, const fleet_scale& scale)
{
    const control_budget budget;
    std::string text =
        format_text("\nOne instance, %s; budget %.1f%% of a core, %.0f MB, %.0f KB/s sent "
                    "and received\n%-28s %10s %10s %10s\n",
                    scale.name.c_str(), budget.core_share * 100, budget.memory_bytes / 1e6,
                    budget.bytes_per_second / 1e3, "line", "core %", "MB", "KB/s");
    for (const control_cost& it : control_costs(roles, scale)) {
        text += format_text("%-28s %10.3f %10.2f %10.2f  %s%s\n", it.name.c_str(),
                            it.core_share * 100, it.memory_bytes / 1e6, it.bytes_per_second / 1e3,
                            is_within(it, budget) ? "within" : "over",
                            it.is_extrapolated ? ", extrapolated" : "");
    }
    return text;
}

std::string format_store(const std::vector<control_role>& roles, const fleet_scale& scale)
{
    std::string text = format_text(
        "\nStore calls of the fleet, %s; limits %.0f reads/s, %.0f writes/s\n%-28s %10s %10s "
        "%10s\n",
        scale.name.c_str(), store_reads_per_second, store_writes_per_second, "line", "reads/s",
        "writes/s", "watches");
    for (const store_load& it : store_loads(roles, scale)) {
        const bool fits = it.reads + it.pending_watches <= store_reads_per_second &&
                          it.writes <= store_writes_per_second;
        text += format_text("%-28s %10.2f %10.2f %10.0f  %s\n", it.name.c_str(), it.reads,
                            it.writes, it.pending_watches, fits ? "within" : "over");
    }
    return text;
}

std::string format_panel(const control_series& series, double x, double y)
{
    constexpr double width = 180;
    constexpr double height = 90;
    const double max_x = *std::max_element(series.sizes.begin(), series.sizes.end());
    const double max_y =
        std::max(1e-9, *std::max_element(series.values.begin(), series.values.end()));
    const line_fit fit = fit_line(series.sizes, series.values);
    const auto at_y = [&](double value) {
        return y + height - std::clamp(value / max_y, -0.1, 1.2) * height;
    };
    std::string text =
        format_text("<text x='%.0f' y='%.0f'>%s: %s</text>\n", x, y - 18, series.role.c_str(),
                    series.figure.c_str()) +
        format_text("<text x='%.0f' y='%.0f'>to %.4g %s, %.4g %s</text>\n", x, y - 6, max_x,
                    series.variable.c_str(), max_y, series.unit.c_str()) +
        format_text("<path d='M%.1f %.1f V%.1f H%.1f' fill='none' stroke='#9aa5b1'/>\n", x, y,
                    y + height, x + width) +
        format_text("<path d='M%.1f %.1f L%.1f %.1f' stroke='#d98324'/>\n", x, at_y(fit.intercept),
                    x + width, at_y(fit.intercept + fit.slope * max_x));
    for (std::size_t i = 0; i < series.sizes.size(); ++i) {
        text += format_text("<circle cx='%.1f' cy='%.1f' r='3' fill='#1b6ca8'/>\n",
                            x + width * series.sizes[i] / max_x, at_y(series.values[i]));
    }
    return text;
}

} // namespace

std::string format_control(const std::vector<control_role>& roles)
{
    std::string text;
    for (const control_role& role : roles) {
        for (const control_series& series : role.series) {
            text += format_series(series);
        }
    }
    for (const fleet_scale& scale : {today_scale(), two_year_scale()}) {
        text += format_costs(roles, scale);
    }
    for (const fleet_scale& scale : {today_scale(), two_year_scale()}) {
        text += format_store(roles, scale);
    }
    return text + format_text("\nThe key-range records hold %.1f claims/s for their retention.\n",
                              sustained_claims(roles));
}

std::string format_control_tsv(const std::vector<control_role>& roles)
{
    std::string text = "role\tfigure\tunit\tvariable\tsize\tvalue\n";
    for (const control_role& role : roles) {
        for (const control_series& series : role.series) {
            for (std::size_t i = 0; i < series.sizes.size(); ++i) {
                text += format_text("%s\t%s\t%s\t%s\t%.10g\t%.10g\n", series.role.c_str(),
                                    series.figure.c_str(), series.unit.c_str(),
                                    series.variable.c_str(), series.sizes[i], series.values[i]);
            }
        }
    }
    return text;
}

std::string control_svg(const std::vector<control_role>& roles)
{
    constexpr int columns = 4;
    constexpr double column_width = 250;
    constexpr double row_height = 150;
    int count = 0;
    std::string body;
    for (const control_role& role : roles) {
        for (const control_series& series : role.series) {
            const int row = count / columns;
            body +=
                format_panel(series, 20 + column_width * (count % columns), 40 + row_height * row);
            ++count;
        }
    }
    const int rows = (count + columns - 1) / columns;
    return format_text("<svg xmlns='http://www.w3.org/2000/svg' width='%.0f' height='%.0f' "
                       "font-family='sans-serif' font-size='10'>\n",
                       column_width * columns + 20, row_height * rows + 20) +
           body + "</svg>\n";
}

} // namespace almondline::bench
