#include "peer/frame.h"

#include "distribution/wire_format.h"
#include "fuzz/invariant.h"
#include "fuzz/targets.h"
#include "granting/internal/messages.h"
#include "granting/internal/quarantine_messages.h"
#include "granting/quarantine.h"
#include "idempotency/wire_format.h"
#include "membership/wire_format.h"
#include "peer/wire.h"

#include <cmath>

namespace almondline::fuzz {

namespace {

constexpr steady_time start{std::chrono::hours{1}};
constexpr int tier_count = 3;

std::string encode(const wire::envelope& message)
{
    std::string out;
    require(peer::encode_frame(message, out) == peer::frame_status::complete,
            "a decoded message can be encoded");
    return out;
}

/// Checks that conversion to a module's message and back loses nothing that the module reads.
template <class Message>
void check_conversion(const wire::envelope& envelope, Message first)
{
    if (!from_wire(envelope, first)) {
        return;
    }
    wire::envelope written;
    to_wire(first, written);
    Message second;
    require(from_wire(written, second), "a message converted to the wire format can be read back");
    wire::envelope again;
    to_wire(second, again);
    require(encode(written) == encode(again), "converting a message twice gives the same message");
}

void check_granting(const wire::envelope& envelope)
{
    const auto request =
        granting::read_credit_request_message(envelope.ask, "h", tier_count, start);
    require(request.tier >= 0 && request.tier < tier_count,
            "the tier of a credit request is known");
    require(std::isfinite(request.cost) && request.cost > 0,
            "the cost of a credit request is finite and positive");
    require(request.deadline >= start, "the deadline of a credit request is not in the past");
    const auto refusal = granting::read_refusal_message(envelope.refusal);
    require(refusal.retry_after.count() >= 0, "a retry delay is not negative");
    const auto report = granting::read_release_message(envelope.release);
    require(report.duration.count() >= 0 && report.first_token.count() >= 0,
            "the times of a release are not negative");
    require(!report.actual_cost || *report.actual_cost >= 0,
            "the actual cost of a release is not negative");
}

void check_quarantine(const wire::envelope& envelope)
{
    granting::quarantine_table table;
    for (const auto& it : granting::read_decisions(envelope.quarantine, start)) {
        require(it.decided_at <= start && it.last_seen <= start,
                "a decision and the requests that it concerns are not in the future");
        require(it.trial_interval.count() >= 0, "the interval of trials is not negative");
        granting::apply_decision(table, it, start);
    }
    for (const auto* crashes : {&envelope.quarantine.crashes, &envelope.crashes.crashes}) {
        for (const auto& it : granting::read_crashes(*crashes)) {
            require(it.age.count() >= 0, "a crash is not in the future");
            granting::note_crash(table, it, start);
        }
    }
    const auto crash = granting::read_crash(envelope.release);
    granting::note_crash(table, crash, start);
    granting::judge(table, start + table.settings.settle_time);
    require(table.decisions.size() <= table.settings.max_decisions &&
                table.crashes.size() <= table.settings.max_crashes,
            "the quarantine table is bounded");
    for (const auto& it : table.crashes) {
        require(it.suspects.size() <= table.settings.max_suspects_per_crash,
                "the suspects of a crash are bounded");
    }
}

void check_body(std::string_view body)
{
    wire::envelope message;
    if (peer::decode_body(body, message) != peer::frame_status::complete) {
        return;
    }
    const auto frame = encode(message);
    wire::envelope again;
    const auto written = std::string_view{frame}.substr(peer::frame_header_bytes);
    require(peer::decode_body(written, again) == peer::frame_status::complete,
            "an encoded message can be decoded");
    require(encode(again) == frame, "encoding a decoded message again gives the same frame");
    check_conversion(message, membership::probe_message{});
    check_conversion(message, distribution::message{});
    check_conversion(message, idempotency::message{});
    check_granting(message);
    check_quarantine(message);
}

} // namespace

/// Reads the input both as the body of one frame and as a sequence of frames.
void fuzz_peer_frame(std::string_view input)
{
    check_body(input);
    std::size_t body_bytes = 0;
    while (peer::decode_header(input, body_bytes) == peer::frame_status::complete) {
        require(body_bytes <= peer::max_frame_bytes, "the size of a body is within the limit");
        input.remove_prefix(peer::frame_header_bytes);
        if (body_bytes > input.size()) {
            return;
        }
        check_body(input.substr(0, body_bytes));
        input.remove_prefix(body_bytes);
    }
}

} // namespace almondline::fuzz
