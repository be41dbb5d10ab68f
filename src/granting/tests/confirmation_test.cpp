#include "granting/credit_client.h"
#include "peer/peer_sender.h"
#include "peer/wire.h"

#include <doctest/doctest.h>

#include <vector>

using namespace almondline;
using namespace almondline::granting;
using namespace std::chrono_literals;

namespace {

class recorder final : public peer_sender {
public:
    void send(const std::string&, const wire::envelope& message) override
    {
        confirmations += message.__isset.confirmation ? 1 : 0;
        releases += message.__isset.release ? 1 : 0;
    }

    int confirmations = 0;
    int releases = 0;
};

/// An instance that was granted a credit with a lifetime of 1300 ms and uses it.
struct fixture {
    fixture()
    {
        set_log_level("granting", log_level::error);
        scheduling::credit_request what;
        what.request_id = "r";
        what.deadline = clock.now() + 10s;
        own.request_credit("chat", what, [](const credit_result&) {});
        wire::grant_message grant;
        grant.request_id = "r";
        grant.pool = "chat";
        grant.credit_id = "c";
        grant.lifetime_ms = 1300;
        wire::envelope message;
        message.__set_grant(grant);
        own.handle("g", message);
    }

    void pass(std::chrono::milliseconds time)
    {
        const auto end = clock.now() + time;
        while (clock.now() < end) {
            clock.advance(50ms);
            own.tick(clock.now());
        }
    }

    manual_clock clock;
    recorder sent;
    decision_log decisions{clock, 10};
    credit_client own{{.instance_id = "h", .confirm_before_expiry = 250ms},
                      clock,
                      sent,
                      [](const std::string&) {
                          return pool_owner_id{"g", 1};
                      },
                      decisions};
};

} // namespace

// Each message costs the granter of a large fleet as much as an ask.
TEST_CASE("a request that ends before its credit would expire needs no confirmation")
{
    fixture f;
    CHECK(f.own.confirm("r"));
    f.pass(1s);
    f.own.release("r", {});
    f.pass(1s);
    CHECK(f.sent.confirmations == 0);
    CHECK(f.sent.releases == 1);
}

// The granter would take the slot back while the request runs.
TEST_CASE("the credit of a longer request is confirmed once, in time")
{
    fixture f;
    CHECK(f.own.confirm("r"));
    f.pass(1100ms);
    CHECK(f.sent.confirmations == 1);
    f.pass(5s);
    CHECK(f.sent.confirmations == 1);
}

TEST_CASE("a credit that is used shortly before it expires is confirmed at once")
{
    fixture f;
    f.pass(1200ms);
    CHECK(f.own.confirm("r"));
    CHECK(f.sent.confirmations == 1);
}
