#include "backend/event_stream.h"

#include <doctest/doctest.h>

using namespace almondline::backend;

TEST_CASE("event_parser returns the same events however the data is split")
{
    const std::string text =
        "id: 1\ndata: {\"a\":1}\n\n: keep-alive\n\nid: 2\r\ndata: x\r\ndata: y\r\n\r\n"
        "data: [DONE]\n\n";
    for (std::size_t split = 0; split <= text.size(); ++split) {
        event_parser parser;
        std::vector<stream_event> events;
        REQUIRE(parser.parse(text.substr(0, split), events));
        REQUIRE(parser.parse(text.substr(split), events));
        REQUIRE(events.size() == 3);
        CHECK(events[0].id == 1);
        CHECK(events[0].data == "{\"a\":1}");
        CHECK(events[1].id == 2);
        CHECK(events[1].data == "x\ny");
        CHECK(events[2].id == 0);
        CHECK(events[2].data == "[DONE]");
    }
}

TEST_CASE("event_parser rejects an endless line, which would grow without bound")
{
    event_parser parser;
    std::vector<stream_event> events;
    CHECK_FALSE(parser.parse(std::string(max_event_size + 1, 'x'), events));
}

TEST_CASE("format_event keeps line breaks within data")
{
    CHECK(format_event({7, "a\nb"}) == "id: 7\ndata: a\ndata: b\n\n");
    CHECK(format_event({0, "[DONE]"}) == "data: [DONE]\n\n");
}

TEST_CASE("event_parser accepts a single carriage return as a line end, as the format requires")
{
    // Found by fuzzing: data that ended with a carriage return lost it when it was formatted again.
    const std::string text = "id: 1\rdata: a\r\rdata: b\r\n\r\ndata: c\r\n\n";
    for (std::size_t split = 0; split <= text.size(); ++split) {
        CAPTURE(split);
        event_parser parser;
        std::vector<stream_event> events;
        REQUIRE(parser.parse(text.substr(0, split), events));
        REQUIRE(parser.parse(text.substr(split), events));
        REQUIRE(events.size() == 3);
        CHECK(events[0].id == 1);
        CHECK(events[0].data == "a");
        CHECK(events[1].data == "b");
        CHECK(events[2].data == "c");
    }
}
