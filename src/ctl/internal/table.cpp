#include "ctl/internal/table.h"

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <vector>

namespace almondline::ctl {

namespace {

using row = std::vector<std::string>;

std::string cell_text(const boost::json::value& value)
{
    if (value.is_string()) {
        return to_printable({value.get_string().data(), value.get_string().size()});
    }
    return value.is_null() ? "-" : to_printable(boost::json::serialize(value));
}

std::string format_rows(const std::vector<row>& rows)
{
    std::vector<std::size_t> widths;
    for (const auto& cells : rows) {
        widths.resize(std::max(widths.size(), cells.size()));
        for (std::size_t i = 0; i < cells.size(); ++i) {
            widths[i] = std::max(widths[i], cells[i].size());
        }
    }
    std::string out;
    for (const auto& cells : rows) {
        std::string line;
        for (std::size_t i = 0; i < cells.size(); ++i) {
            line += cells[i];
            line += std::string(i + 1 < cells.size() ? widths[i] - cells[i].size() + 2 : 0, ' ');
        }
        out += line.substr(0, line.find_last_not_of(' ') + 1) + "\n";
    }
    return out;
}

std::string render_list(const boost::json::array& list)
{
    row columns;
    for (const auto& element : list) {
        if (!element.is_object()) {
            continue;
        }
        for (const auto& member : element.get_object()) {
            const std::string key = to_printable(std::string{member.key()});
            if (std::find(columns.begin(), columns.end(), key) == columns.end()) {
                columns.push_back(key);
            }
        }
    }
    std::vector<row> rows;
    if (!columns.empty()) {
        rows.push_back(columns);
    }
    for (const auto& element : list) {
        const auto* object = element.if_object();
        if (object == nullptr) {
            rows.push_back({cell_text(element)});
            continue;
        }
        row cells;
        for (const auto& column : columns) {
            const auto* it = object->if_contains(column);
            cells.push_back(it == nullptr ? "-" : cell_text(*it));
        }
        rows.push_back(std::move(cells));
    }
    return rows.empty() ? "none\n" : format_rows(rows);
}

bool is_nested(const boost::json::value& value)
{
    return value.is_object() || value.is_array();
}

std::string render_object(const boost::json::object& object, const std::string& title)
{
    std::vector<row> rows;
    for (const auto& member : object) {
        if (!is_nested(member.value())) {
            rows.push_back({to_printable(std::string{member.key()}), cell_text(member.value())});
        }
    }
    std::string out = format_rows(rows);
    for (const auto& member : object) {
        if (!is_nested(member.value())) {
            continue;
        }
        const auto path = title + to_printable(std::string{member.key()});
        out += (out.empty() ? "" : "\n") + path + ":\n";
        out += member.value().is_array() ? render_list(member.value().get_array())
                                         : render_object(member.value().get_object(), path + ".");
    }
    return out;
}

} // namespace

std::string to_printable(std::string text)
{
    std::replace_if(
        text.begin(), text.end(),
        [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7f; }, '?');
    return text;
}

std::string render_json(const boost::json::value& value)
{
    if (value.is_object()) {
        return render_object(value.get_object(), {});
    }
    return value.is_array() ? render_list(value.get_array()) : cell_text(value) + "\n";
}

} // namespace almondline::ctl
