#include "granting/credit_client.h"
#include "peer/peer_sender.h"
#include "peer/wire.h"

#include <doctest/doctest.h>

#include <vector>

using namespace almondline;
using namespace almondline::granting;
using namespace std::chrono_literals;

namespace {

class counting_sender final : public peer_sender {
public:
    void send(const std::string&, const wire::envelope& message) override
    {
        confirmations += message.__isset.confirmation ? 1 : 0;
        releases += message.__isset.release ? 1 : 0;
    }

    int confirmations = 0;
    int releases = 0;
};

/// A credit client that has received a credit with a lifetime of 1300 ms.
struct fixture {
    fixture()
    {
        set_log_level("granting", log_level::error);
        scheduling::credit_request request;
        request.request_id = "r";
        request.deadline = clock.now() + 10s;
        client.request_credit("chat", request, [](const credit_result&) {});
        wire::grant_message grant;
        grant.request_id = "r";
        grant.pool = "chat";
        grant.credit_id = "c";
        grant.lifetime_ms = 1300;
        wire::envelope message;
        message.__set_grant(grant);
        client.handle("g", message);
    }

    void advance(std::chrono::milliseconds time)
    {
        const auto end = clock.now() + time;
        while (clock.now() < end) {
            clock.advance(50ms);
            client.tick(clock.now());
        }
    }

    manual_clock clock;
    counting_sender sent;
    decision_log decisions{clock, 10};
    credit_client client{{.instance_id = "h", .confirm_before_expiry = 250ms},
                         clock,
                         sent,
                         [](const std::string&) {
                             return pool_owner_id{"g", 1};
                         },
                         decisions};
};

} // namespace

// In a large fleet each confirmation costs the granter as much as a credit request.
TEST_CASE("a request that ends before its credit would expire sends no confirmation")
{
    fixture f;
    CHECK(f.client.confirm("r"));
    f.advance(1s);
    f.client.release("r", {});
    f.advance(1s);
    CHECK(f.sent.confirmations == 0);
    CHECK(f.sent.releases == 1);
}

// Without the confirmation the granter would free the slot while the request runs.
TEST_CASE("the credit of a longer request is confirmed once, before it expires")
{
    fixture f;
    CHECK(f.client.confirm("r"));
    f.advance(1100ms);
    CHECK(f.sent.confirmations == 1);
    f.advance(5s);
    CHECK(f.sent.confirmations == 1);
}

TEST_CASE("a credit that is first used shortly before it expires is confirmed immediately")
{
    fixture f;
    f.advance(1200ms);
    CHECK(f.client.confirm("r"));
    CHECK(f.sent.confirmations == 1);
}
