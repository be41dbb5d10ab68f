#include "common/bounded_output.h"

#include <doctest/doctest.h>
#include <string>
#include <unistd.h>

using namespace almondline;

namespace {

struct pipe_ends {
    pipe_ends() { REQUIRE(pipe(ends) == 0); }
    ~pipe_ends()
    {
        close(ends[0]);
        close(ends[1]);
    }
    pipe_ends(const pipe_ends&) = delete;
    pipe_ends& operator=(const pipe_ends&) = delete;

    std::string read_some() const
    {
        char buf[1 << 17];
        const auto n = read(ends[0], buf, sizeof buf);
        return {buf, static_cast<std::size_t>(n > 0 ? n : 0)};
    }

    int ends[2] = {-1, -1};
};

} // namespace

TEST_CASE("lines wait until they are flushed")
{
    const pipe_ends pipe;
    bounded_output out{pipe.ends[1], 1000};
    CHECK(out.add("first"));
    CHECK(out.add("second"));
    CHECK(out.pending_bytes() == 13);
    out.flush();
    CHECK(out.pending_bytes() == 0);
    CHECK(pipe.read_some() == "first\nsecond\n");
}

// A log reader that stops reading must not block the process that writes.
TEST_CASE("a reader that stops reading never blocks the writer, further lines are dropped")
{
    const pipe_ends pipe;
    bounded_output out{pipe.ends[1], 100'000};
    const std::string line(999, 'x');
    for (int i = 0; i < 1000; ++i) {
        out.add(line);
        out.flush();
    }
    CHECK(out.dropped_lines() > 0);
    CHECK(out.pending_bytes() <= 100'000);
    const auto dropped = out.dropped_lines();
    CHECK(!pipe.read_some().empty());
    out.flush();
    CHECK(out.add(line));
    CHECK(out.dropped_lines() == dropped);
}
