#include "backend/event_splitter.h"

#include "backend/event_stream.h"

#include <doctest/doctest.h>

using namespace almondline::backend;

// If a server aborts in the middle of an event, the caller must not have received half of it.
TEST_CASE("event_splitter forwards only complete events, unchanged")
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

TEST_CASE("event_splitter accepts lines that end with a carriage return and a line feed")
{
    event_splitter splitter;
    std::string out;
    CHECK(splitter.split("id: 7\r\ndata: a\r\n\r\n", out));
    CHECK(out == "id: 7\r\ndata: a\r\n\r\n");
    CHECK(splitter.last_id() == 7);
}

// Another server may resume earlier than requested; the caller would receive events twice.
TEST_CASE("event_splitter drops events that were already forwarded")
{
    event_splitter splitter{2};
    std::string out;
    CHECK(splitter.split("id: 2\ndata: b\n\nid: 3\ndata: c\n\n", out));
    CHECK(out == "id: 3\ndata: c\n\n");
}

TEST_CASE("event_splitter rejects an endless event at the size limit")
{
    event_splitter splitter;
    std::string out;
    const std::string endless(max_event_size + 1, 'x');
    CHECK_FALSE(splitter.split(endless, out));
}
