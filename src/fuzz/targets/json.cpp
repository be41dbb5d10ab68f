#include "common/json.h"

#include "fuzz/invariant.h"
#include "fuzz/targets.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <cmath>

namespace almondline::fuzz {

namespace {

/// Returns the line of the syntax error, 0 if the text is valid, or -1 for an error of another
/// type.
int error_line(std::string_view text)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<int> {
            BOOST_LEAF_CHECK(parse_json(text));
            return 0;
        },
        [](const parse_error& e) { return e.line; }, [] { return -1; });
}

/// Equal, but for the last digits of doubles: the parser of Boost.JSON does not round them exactly.
bool is_same(const boost::json::value& a, const boost::json::value& b)
{
    constexpr double tolerance = 1e-14;
    if (a.is_double() && b.is_double()) {
        const double x = a.get_double();
        const double y = b.get_double();
        return x == y || std::abs(x - y) <= tolerance * std::abs(x);
    }
    if (a.is_array() && b.is_array()) {
        return std::equal(a.get_array().begin(), a.get_array().end(), b.get_array().begin(),
                          b.get_array().end(), is_same);
    }
    if (a.is_object() && b.is_object()) {
        const auto is_same_member = [](const auto& x, const auto& y) {
            return x.key() == y.key() && is_same(x.value(), y.value());
        };
        return std::equal(a.get_object().begin(), a.get_object().end(), b.get_object().begin(),
                          b.get_object().end(), is_same_member);
    }
    return a == b;
}

void check_accessors(const boost::json::value& object, std::string_view key)
{
    const auto integer = integer_or(object, key, 7);
    require(integer == 7 || number_or(object, key, 0) == static_cast<double>(integer),
            "an integer and a number read from one member are equal");
    string_or(object, key);
    bool_or(object, key, false);
}

} // namespace

void fuzz_json(std::string_view input)
{
    const auto parsed = parse_json(input);
    if (!parsed) {
        const auto lines = 1 + std::count(input.begin(), input.end(), '\n');
        const auto line = error_line(input);
        // 0: valid syntax with a number out of range.
        require(line >= 0 && line <= lines, "the line of an error is a line of the text");
        return;
    }
    const auto text = boost::json::serialize(*parsed);
    const auto again = parse_json(text);
    require(static_cast<bool>(again), "a serialized value can be parsed");
    require(is_same(*again, *parsed), "a serialized value parses to the same value");
    if (!parsed->is_object()) {
        check_accessors(*parsed, "key");
        return;
    }
    for (const auto& it : parsed->get_object()) {
        check_accessors(*parsed, {it.key().data(), it.key().size()});
    }
}

} // namespace almondline::fuzz
