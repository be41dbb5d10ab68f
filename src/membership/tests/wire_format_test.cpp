#include "membership/wire_format.h"

#include "peer/frame.h"
#include "peer/wire.h"

#include <doctest/doctest.h>

using namespace almondline;
using namespace almondline::membership;

TEST_CASE("probes and acks keep every field over the wire, so that no refutation is lost")
{
    const member full{"entry-1",  7,  3,   member_status::suspect, "127.0.0.1:1", "127.0.0.1:2",
                      "domain-a", 12, 0.25};
    for (const bool is_ack : {false, true}) {
        const probe_message sent{is_ack, 42, {full}, "entry-9"};
        wire::envelope envelope;
        to_wire(sent, envelope);
        std::string frame;
        REQUIRE(peer::encode_frame(envelope, frame) == peer::frame_status::complete);
        wire::envelope decoded;
        const auto body = std::string_view{frame}.substr(peer::frame_header_bytes);
        REQUIRE(peer::decode_body(body, decoded) == peer::frame_status::complete);
        probe_message received;
        REQUIRE(from_wire(decoded, received));
        CHECK(received.is_ack == is_ack);
        CHECK(received.nonce == 42);
        CHECK(received.indirect_target == "entry-9");
        REQUIRE(received.updates.size() == 1);
        const auto& m = received.updates.front();
        CHECK(m.id == full.id);
        CHECK(m.incarnation == 7);
        CHECK(m.refutation == 3);
        CHECK(m.status == member_status::suspect);
        CHECK(m.caller_address == full.caller_address);
        CHECK(m.failure_domain == full.failure_domain);
        CHECK(m.manifest_version == 12);
        CHECK(m.cores == 0.25);
    }
    probe_message none;
    CHECK_FALSE(from_wire(wire::envelope{}, none));
}
