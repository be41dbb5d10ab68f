#include "bench/internal/report.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <sstream>

namespace almondline::bench {

namespace {

constexpr double bar_width = 9;
constexpr double group_gap = 24;
constexpr double plot_height = 220;
constexpr double margin = 60;
constexpr const char* colors[] = {"#1b6ca8", "#9aa5b1", "#d98324", "#6b8f3c", "#a23e48", "#7a5fa0"};

std::vector<std::string> split(const std::string& line)
{
    std::vector<std::string> cells;
    std::istringstream in{line};
    for (std::string cell; std::getline(in, cell, '\t');) {
        cells.push_back(cell);
    }
    return cells;
}

struct bar {
    std::string group;
    std::string policy;
    double value = 0;
};

std::vector<bar> read_bars(const std::string& tsv, const std::string& column)
{
    std::istringstream in{tsv};
    std::string line;
    std::getline(in, line);
    const std::vector<std::string> header = split(line);
    const auto at = std::find(header.begin(), header.end(), column) - header.begin();
    std::vector<bar> bars;
    while (std::getline(in, line)) {
        const std::vector<std::string> cells = split(line);
        const std::string& value = cells.at(static_cast<std::size_t>(at));
        bars.push_back({cells[0] + " " + cells[1], cells[2], std::stod(value)});
    }
    return bars;
}

template <class... Values>
std::string format_text(const char* format, Values... values)
{
    char text[400];
    std::snprintf(text, sizeof text, format, values...);
    return text;
}

} // namespace

std::string plot_svg(const std::string& tsv, const std::string& column)
{
    const std::vector<bar> bars = read_bars(tsv, column);
    double highest = 1e-9;
    for (const bar& each : bars) {
        highest = std::max(highest, each.value);
    }
    std::string body;
    std::map<std::string, std::size_t> policies;
    std::string group;
    double x = margin;
    for (const bar& each : bars) {
        if (each.group != group) {
            group = each.group;
            x += group_gap;
            body +=
                format_text("<text x='%.0f' y='%.0f' transform='rotate(35 %.0f %.0f)'>%s</text>\n",
                            x, plot_height + 44, x, plot_height + 44, group.c_str());
        }
        const std::size_t color = policies.try_emplace(each.policy, policies.size()).first->second;
        const double height = plot_height * each.value / highest;
        body += format_text("<rect x='%.0f' y='%.1f' width='%.0f' height='%.1f' fill='%s'/>\n", x,
                            30 + plot_height - height, bar_width - 1, height, colors[color % 6]);
        x += bar_width;
    }
    body += format_text("<text x='4' y='40'>%.3g</text><text x='4' y='%.0f'>0</text>\n", highest,
                        30 + plot_height);
    for (const auto& [name, color] : policies) {
        const double at = margin + 120 * static_cast<double>(color);
        body += format_text("<rect x='%.0f' y='6' width='10' height='10' fill='%s'/>"
                            "<text x='%.0f' y='15'>%s</text>\n",
                            at, colors[color % 6], at + 14, name.c_str());
    }
    return format_text("<svg xmlns='http://www.w3.org/2000/svg' width='%.0f' height='%.0f' "
                       "font-family='sans-serif' font-size='11'>\n<text x='4' y='15'>%s</text>\n",
                       x + 140, plot_height + 170, column.c_str()) +
           body + "</svg>\n";
}

} // namespace almondline::bench
