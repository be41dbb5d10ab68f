#include "idempotency/wire_format.h"

#include "peer/wire.h"

#include <string>

namespace almondline::idempotency {

namespace {

// Values unknown to this version are read as the conservative ones: verdicts as may_have_run, claim
// statuses as unknown.
verdict parse_verdict(const std::string& text)
{
    if (text == to_string(verdict::not_run)) {
        return verdict::not_run;
    }
    return text == to_string(verdict::ran) ? verdict::ran : verdict::may_have_run;
}

wire::claim_status::type to_wire(claim_status status)
{
    switch (status) {
    case claim_status::claimed:
        return wire::claim_status::claimed;
    case claim_status::duplicate:
        return wire::claim_status::duplicate;
    case claim_status::refused:
        return wire::claim_status::refused;
    case claim_status::unknown:
        return wire::claim_status::unknown;
    }
    return wire::claim_status::unknown;
}

claim_status from_wire(wire::claim_status::type status)
{
    switch (status) {
    case wire::claim_status::claimed:
        return claim_status::claimed;
    case wire::claim_status::duplicate:
        return claim_status::duplicate;
    case wire::claim_status::refused:
        return claim_status::refused;
    case wire::claim_status::unknown:
        return claim_status::unknown;
    }
    return claim_status::unknown;
}

void set(const claim_request& content, wire::envelope& envelope)
{
    wire::claim_message claim;
    claim.__set_claim_id(content.claim_id);
    claim.__set_account(content.account);
    claim.__set_key_hash(content.key_hash);
    claim.__set_holder(content.holder);
    claim.__set_holder_incarnation(content.holder_incarnation);
    claim.__set_request_id(content.request_id);
    envelope.__set_claim(claim);
}

void set(const claim_answer& content, wire::envelope& envelope)
{
    wire::claim_reply reply;
    reply.__set_claim_id(content.claim_id);
    reply.__set_status(to_wire(content.status));
    reply.__set_holder(content.holder);
    reply.__set_holder_incarnation(content.holder_incarnation);
    reply.__set_message(content.message);
    reply.__set_recorded_claim_id(content.recorded_claim_id);
    envelope.__set_claimed(reply);
}

void set(const outcome_query& content, wire::envelope& envelope)
{
    wire::outcome_query query;
    query.__set_query_id(content.query_id);
    query.__set_account(content.account);
    query.__set_key_hash(content.key_hash);
    query.__set_body_hash(content.body_hash);
    query.__set_claim_id(content.claim_id);
    envelope.__set_query(query);
}

void set(const outcome_reply& content, wire::envelope& envelope)
{
    wire::outcome_reply reply;
    reply.__set_query_id(content.query_id);
    reply.__set_is_known(content.is_known);
    reply.__set_is_finished(content.is_finished);
    reply.__set_is_other_body(content.is_other_body);
    if (content.is_finished) {
        reply.__set_http_status(content.result.http_status);
        reply.__set_content_type(content.result.content_type);
        if (content.result.is_body_kept) {
            reply.__set_body(content.result.body);
        }
        reply.__set_verdict(std::string{to_string(content.result.run)});
    }
    envelope.__set_outcome(reply);
}

} // namespace

void to_wire(const message& content, wire::envelope& envelope)
{
    std::visit([&](const auto& it) { set(it, envelope); }, content);
}

bool from_wire(const wire::envelope& envelope, message& content)
{
    if (envelope.__isset.claim) {
        const auto& it = envelope.claim;
        content = claim_request{it.claim_id,           it.account,   it.key_hash, it.holder,
                                it.holder_incarnation, it.request_id};
        return true;
    }
    if (envelope.__isset.claimed) {
        const auto& it = envelope.claimed;
        content = claim_answer{it.claim_id,           from_wire(it.status), it.holder,
                               it.holder_incarnation, it.message,           it.recorded_claim_id};
        return true;
    }
    if (envelope.__isset.query) {
        const auto& it = envelope.query;
        content = outcome_query{it.query_id, it.account, it.key_hash, it.body_hash, it.claim_id};
        return true;
    }
    if (envelope.__isset.outcome) {
        const auto& it = envelope.outcome;
        const outcome result{it.http_status, it.content_type, it.body, parse_verdict(it.verdict),
                             it.__isset.body};
        content = outcome_reply{it.query_id, it.is_known, it.is_finished, it.is_other_body, result};
        return true;
    }
    return false;
}

} // namespace almondline::idempotency
