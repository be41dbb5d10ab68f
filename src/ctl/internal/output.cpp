#include "ctl/internal/output.h"

#include "ctl/internal/table.h"

#include <boost/json/serialize.hpp>
#include <fstream>
#include <istream>
#include <ostream>
#include <sstream>

namespace almondline::ctl {

exit_code report(ctl_context& context, exit_code code, const boost::json::object& json,
                 const std::string& text)
{
    if (context.options.is_json) {
        context.out << boost::json::serialize(json) << "\n";
        return code;
    }
    auto& stream = code == exit_code::ok ? context.out : context.err;
    stream << text << (text.empty() || text.back() == '\n' ? "" : "\n");
    return code;
}

exit_code report_failure(ctl_context& context, exit_code code, const std::string& message)
{
    return report(context, code, {{"error", message}, {"exit_code", static_cast<int>(code)}},
                  "almondctl: " + to_printable(message));
}

bool read_input(ctl_context& context, const std::string& path, std::string& text)
{
    std::ostringstream buf;
    if (path == "-") {
        buf << context.in.rdbuf();
        text = buf.str();
        return true;
    }
    const std::ifstream file{path, std::ios::binary};
    if (!file) {
        report_failure(context, exit_code::invalid, path + ": cannot open the file");
        return false;
    }
    buf << file.rdbuf();
    text = buf.str();
    return true;
}

std::string trim_end(std::string text)
{
    text.erase(text.find_last_not_of(" \t\r\n") + 1);
    return text;
}

} // namespace almondline::ctl
