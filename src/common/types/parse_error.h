#pragma once

#include <string>

namespace almondline {

/// Error object of the parse functions, carried by boost::leaf::result.
struct parse_error {
    std::string file;    ///< path of the input, empty if it did not come from a file
    int line = 0;        ///< line in the input from 1, 0 if unknown
    std::string where;   ///< section and key, or JSON path
    std::string message; ///< what is wrong
};

/// Formats as "file:line: where: message" without the unknown parts.
inline std::string to_string(const parse_error& error)
{
    std::string text = error.file;
    if (error.line > 0) {
        text += (text.empty() ? "line " : ":") + std::to_string(error.line);
    }
    if (!error.where.empty()) {
        text += (text.empty() ? "" : ": ") + error.where;
    }
    return text + (text.empty() ? "" : ": ") + error.message;
}

} // namespace almondline
