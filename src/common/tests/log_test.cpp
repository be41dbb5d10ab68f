#include "common/log.h"

#include <doctest/doctest.h>

using namespace almondline;

TEST_CASE("format_log_line escapes values, so that input cannot forge a line or a field")
{
    const auto line = format_log_line("entry", log_level::info, "answer",
                                      {{"path", "/x level=error"}, {"text", "a\nb\"c"}, {"n", 3}});
    CHECK(line ==
          R"(level=info component=entry event=answer path="/x level=error" text="a\nb\"c" n=3)");
}

TEST_CASE("set_log_level changes one component while the others keep the default")
{
    set_log_level("*", log_level::info);
    set_log_level("routing", log_level::debug);
    CHECK(is_log_enabled("routing", log_level::debug));
    CHECK_FALSE(is_log_enabled("peer", log_level::debug));
    set_log_level("*", log_level::error);
    CHECK_FALSE(is_log_enabled("routing", log_level::warning));
    set_log_level("*", log_level::info);
}
