#include "backend/event_splitter.h"

#include "backend/event_stream.h"

#include <doctest/doctest.h>

using namespace almondline::backend;

// A server that breaks off in the middle of an event must not leave half of it with the caller.
TEST_CASE("only whole events are passed on, unchanged")
{
    event_splitter splitter;
    std::string out;
    CHECK(splitter.split("version: 2\nid: 1\ndata: a\n\nid: 2\nda", out));
    CHECK(out == "version: 2\nid: 1\ndata: a\n\n");
    CHECK_FALSE(splitter.is_at_boundary());
    CHECK(splitter.last_id() == 1);
    out.clear();
    CHECK(splitter.split("ta: b\n", out));
    CHECK(out.empty());
    CHECK(splitter.split("\n", out));
    CHECK(out == "id: 2\ndata: b\n\n");
    CHECK(splitter.is_at_boundary());
    CHECK(splitter.count() == 2);
}

TEST_CASE("lines may end with a carriage return and a line feed")
{
    event_splitter splitter;
    std::string out;
    CHECK(splitter.split("id: 7\r\ndata: a\r\n\r\n", out));
    CHECK(out == "id: 7\r\ndata: a\r\n\r\n");
    CHECK(splitter.last_id() == 7);
}

// Another server may begin earlier than it was asked to; the caller would get events twice.
TEST_CASE("events that were passed on before are left out")
{
    event_splitter splitter{2};
    std::string out;
    CHECK(splitter.split("id: 2\ndata: b\n\nid: 3\ndata: c\n\n", out));
    CHECK(out == "id: 3\ndata: c\n\n");
}

TEST_CASE("an event without an end is refused at the size limit")
{
    event_splitter splitter;
    std::string out;
    const std::string endless(max_event_size + 1, 'x');
    CHECK_FALSE(splitter.split(endless, out));
}
