#include "ctl/internal/manifest_commands.h"

#include "common/hash.h"
#include "ctl/internal/output.h"
#include "ctl/internal/store_session.h"
#include "ctl/internal/table.h"
#include "manifest/diff.h"
#include "manifest/parse.h"

#include <boost/json/array.hpp>
#include <ostream>

namespace almondline::ctl {

namespace {

exit_code report_parse_error(ctl_context& context, const parse_error& error)
{
    return report(context, exit_code::invalid,
                  {{"valid", false},
                   {"file", error.file},
                   {"line", error.line},
                   {"where", error.where},
                   {"error", error.message},
                   {"exit_code", static_cast<int>(exit_code::invalid)}},
                  to_printable(to_string(error)));
}

std::optional<manifest> load_manifest(ctl_context& context, const std::string& path,
                                      std::string& text)
{
    if (!read_input(context, path, text)) {
        return std::nullopt;
    }
    parse_error error;
    auto m = try_parse_manifest(text, path == "-" ? "standard input" : path, error);
    if (!m) {
        report_parse_error(context, error);
    }
    return m;
}

bool has_store(ctl_context& context)
{
    if (!context.options.store_addresses.empty()) {
        return true;
    }
    report_failure(context, exit_code::invalid, "no store address: use --store or store.addresses");
    return false;
}

exit_code report_fetch_failure(ctl_context& context, const fetch_result& fetched)
{
    if (fetched.status == fetch_status::missing) {
        return report_failure(context, exit_code::refused, "no manifest was published");
    }
    return report_failure(context, exit_code::unreachable, fetched.message);
}

boost::json::object to_json(const publication& it)
{
    return {{"version", it.version},
            {"published_at", it.published_at},
            {"operator", it.operator_name},
            {"publish_id", it.publish_id},
            {"digest", it.digest}};
}

exit_code report_diff(ctl_context& context, const manifest& before, const manifest& after)
{
    boost::json::array lines;
    std::string text;
    for (const auto& it : diff_manifests(before, after)) {
        lines.emplace_back(it);
        text += to_printable(it) + "\n";
    }
    return report(context, exit_code::ok, {{"differences", lines}},
                  text.empty() ? "no differences" : text);
}

exit_code report_publication(ctl_context& context, const publish_result& result)
{
    boost::json::object json{{"version", result.version},
                             {"current_version", result.current_version},
                             {"publish_id", result.publish_id},
                             {"message", result.message}};
    const auto finish = [&](exit_code code, const char* status, const std::string& text) {
        json["status"] = status;
        json["exit_code"] = static_cast<int>(code);
        return report(context, code, json, to_printable(text));
    };
    const auto version = "version " + std::to_string(result.version);
    switch (result.status) {
    case publish_status::published:
        return finish(exit_code::ok, "published", "published " + version);
    case publish_status::superseded:
        return finish(exit_code::ok, "superseded",
                      "published " + version + ", superseded by version " +
                          std::to_string(result.current_version));
    case publish_status::lost_race:
        json["winner"] = result.winner;
        return finish(exit_code::lost_race, "lost-race", "not published: " + result.message);
    case publish_status::refused:
        return finish(exit_code::refused, "refused", "not published: " + result.message);
    case publish_status::unreachable:
        return finish(exit_code::unreachable, "unreachable", "not published: " + result.message);
    case publish_status::undecided:
        break;
    }
    return finish(exit_code::unreachable, "undecided",
                  "undecided: " + result.message + "; \"almondctl manifest history\" shows " +
                      result.publish_id + " if it was published");
}

const publication* find_publication(const manifest_pointer& pointer, std::int64_t version)
{
    if (version == 0 || version == pointer.current.version) {
        return &pointer.current;
    }
    for (const auto& it : pointer.history) {
        if (it.version == version) {
            return &it;
        }
    }
    return nullptr;
}

} // namespace

exit_code validate_manifest_file(ctl_context& context, const std::string& path)
{
    std::string text;
    const auto m = load_manifest(context, path, text);
    if (!m) {
        return exit_code::invalid;
    }
    return report(context, exit_code::ok,
                  {{"valid", true},
                   {"name", m->name},
                   {"digest", m->digest},
                   {"accounts", m->accounts.size()},
                   {"services", m->services.size()}},
                  path + ": valid, digest " + m->digest);
}

exit_code diff_manifest_files(ctl_context& context, const std::string& path,
                              const std::string& other_path)
{
    std::string text;
    const auto first = load_manifest(context, path, text);
    if (!first) {
        return exit_code::invalid;
    }
    if (!other_path.empty()) {
        const auto second = load_manifest(context, other_path, text);
        return second ? report_diff(context, *first, *second) : exit_code::invalid;
    }
    if (!has_store(context)) {
        return exit_code::invalid;
    }
    const auto fetched = store_session{context}.fetch_current();
    if (fetched.status != fetch_status::found) {
        return report_fetch_failure(context, fetched);
    }
    parse_error error;
    const auto current = try_parse_manifest(fetched.text, "store", error);
    return current ? report_diff(context, *current, *first) : report_parse_error(context, error);
}

exit_code publish_manifest_file(ctl_context& context, const std::string& path,
                                std::int64_t based_on)
{
    std::string text;
    if (!has_store(context) || !load_manifest(context, path, text)) {
        return exit_code::invalid;
    }
    if (context.options.operator_name.empty()) {
        return report_failure(context, exit_code::invalid,
                              "no operator name: use --operator-name or operator.name");
    }
    store_session session{context};
    publish_request request{std::move(text), based_on, context.options.operator_name, random_id()};
    return report_publication(context, session.publish(std::move(request)));
}

exit_code show_manifest_history(ctl_context& context)
{
    if (!has_store(context)) {
        return exit_code::invalid;
    }
    const auto fetched = store_session{context}.fetch_current();
    if (fetched.status != fetch_status::found) {
        return report_fetch_failure(context, fetched);
    }
    boost::json::array rows{to_json(fetched.pointer.current)};
    for (const auto& it : fetched.pointer.history) {
        rows.push_back(to_json(it));
    }
    return report(context, exit_code::ok, {{"history", rows}}, render_json(rows));
}

exit_code show_manifest(ctl_context& context, std::int64_t version)
{
    if (!has_store(context)) {
        return exit_code::invalid;
    }
    store_session session{context};
    auto fetched = session.fetch_current();
    if (fetched.status != fetch_status::found) {
        return report_fetch_failure(context, fetched);
    }
    const auto* wanted = find_publication(fetched.pointer, version);
    if (wanted == nullptr) {
        return report_failure(context, exit_code::refused,
                              "version " + std::to_string(version) + " is not in the history");
    }
    auto json = to_json(*wanted);
    if (wanted != &fetched.pointer.current) {
        fetched = session.fetch_body(publication{*wanted});
    }
    if (fetched.status != fetch_status::found) {
        return report_fetch_failure(context, fetched);
    }
    json["text"] = fetched.text;
    return report(context, exit_code::ok, json, fetched.text);
}

} // namespace almondline::ctl
