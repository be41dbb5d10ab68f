#include "idempotency/idempotency_guard.h"

#include "common/hash.h"

#include <utility>
#include <vector>

namespace almondline::idempotency {

namespace {

constexpr std::chrono::milliseconds default_retry_after{1000};

admission refuse(verdict run, const char* code, const std::string& text,
                 std::chrono::milliseconds retry_after = {},
                 const std::string& redirect_address = {})
{
    admission answer;
    answer.reason = {run, code, text, retry_after};
    answer.redirect_address = redirect_address;
    return answer;
}

admission respond(const outcome& recorded)
{
    admission answer;
    answer.kind = admission_kind::respond;
    answer.response = recorded;
    return answer;
}

admission refuse_other_body()
{
    return refuse(verdict::not_run, "key-reused", "the key was used with another request");
}

// If the request that was joined had no response, the joined ones get a refusal, not an empty
// response.
admission answer_joined(const outcome& result)
{
    if (result.run == verdict::not_run) {
        return refuse(verdict::not_run, "not-dispatched",
                      "the request with the same key that this one joined was not run",
                      default_retry_after);
    }
    if (result.http_status == 0) {
        return refuse(verdict::may_have_run, "outcome-unknown", "the outcome is not known");
    }
    return respond(result);
}

claimer_config with_identity(claimer_config config, const guard_config& from)
{
    config.instance_id = from.instance_id;
    config.incarnation = from.incarnation;
    return config;
}

outcome_limits with_lifetime(outcome_limits limits, std::chrono::milliseconds lifetime)
{
    limits.kept_retention = lifetime;
    return limits;
}

} // namespace

idempotency_guard::idempotency_guard(const guard_config& config, guard_callbacks callbacks,
                                     key_value_store& store, const clock_source& clock)
    : config_{config}, callbacks_{std::move(callbacks)}, clock_{clock}, started_{clock.now()},
      table_{with_lifetime(config.outcomes, config.key_lifetime)},
      owner_{store, clock, config.owner}, claimer_{with_identity(config.claims, config),
                                                   callbacks_.peers, owner_}
{
}

std::string idempotency_guard::mint(steady_time now) const
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - started_);
    return to_text(minted_key{config_.instance_id, config_.incarnation, age + config_.key_lifetime,
                              random_id()});
}

void idempotency_guard::admit(const keyed_request& request, admission_handler handler,
                              steady_time now)
{
    if (is_minted(request.key)) {
        admit_minted(request, handler, now);
        return;
    }
    if (request.key.empty() || request.key.size() > config_.max_key_bytes) {
        handler(refuse(verdict::not_run, "bad-key", "the idempotency key is empty or too long"));
        return;
    }
    std::string claim_id;
    if (!start(request, false, handler, claim_id, now)) {
        return;
    }
    claimer_.claim(
        claim_id, request.account, hash_key(request.account, request.key), request.request_id,
        [this, request, handler = std::move(handler)](const claim_answer& answer) {
            on_claimed(request, handler, answer);
        },
        now);
}

void idempotency_guard::admit_minted(const keyed_request& request, const admission_handler& handler,
                                     steady_time now)
{
    const auto key = parse_minted_key(request.key);
    if (!key) {
        handler(refuse(verdict::not_run, "bad-key", "the minted key is malformed"));
        return;
    }
    if (key->instance_id != config_.instance_id || key->incarnation != config_.incarnation) {
        const auto holder = callbacks_.holder(key->instance_id, key->incarnation);
        handler(holder.is_gone ? refuse(verdict::may_have_run, "key-holder-gone",
                                        "the instance that minted the key is gone")
                               : refuse(verdict::not_run, "other-instance",
                                        "only the instance that minted the key runs it",
                                        default_retry_after, holder.caller_address));
        return;
    }
    const auto left = started_ + key->expires - now;
    if (left > config_.key_lifetime) {
        handler(refuse(verdict::not_run, "bad-key", "the key was not minted here"));
        return;
    }
    if (left <= std::chrono::milliseconds{0}) {
        // The outcome of an earlier request with the key may have been dropped, so not_run could be
        // wrong.
        handler(refuse(verdict::may_have_run, "key-expired", "the idempotency key has expired"));
        return;
    }
    std::string unused;
    if (start(request, true, handler, unused, now)) {
        handler({admission_kind::dispatch, {}, {}, {}});
    }
}

bool idempotency_guard::start(const keyed_request& request, bool is_minted,
                              const admission_handler& handler, std::string& claim_id,
                              steady_time now)
{
    const auto started = table_.begin(
        request.account, hash_key(request.account, request.key), request.body_hash, is_minted,
        [handler](const outcome& result) { handler(answer_joined(result)); }, now);
    switch (started.status) {
    case begin_status::started:
        claim_id = started.claim_id;
        return true;
    case begin_status::joined:
        return false;
    case begin_status::finished:
        handler(answer_joined(started.recorded));
        return false;
    case begin_status::other_body:
        handler(refuse_other_body());
        return false;
    case begin_status::full:
        handler(refuse(verdict::not_run, "too-many-keys", "too many idempotency keys are in use",
                       default_retry_after));
        return false;
    }
    return false;
}

void idempotency_guard::on_claimed(const keyed_request& request, const admission_handler& handler,
                                   const claim_answer& answer)
{
    const auto now = clock_.now();
    if (answer.status == claim_status::claimed) {
        handler({admission_kind::dispatch, {}, {}, {}});
        return;
    }
    if (answer.status != claim_status::duplicate) {
        abandon_and_answer(request, handler,
                           refuse(verdict::not_run, "claim-refused",
                                  "the idempotency key was not claimed: " + answer.message,
                                  default_retry_after),
                           now);
        return;
    }
    const bool is_own =
        answer.holder == config_.instance_id && answer.holder_incarnation == config_.incarnation;
    if (is_own || callbacks_.holder(answer.holder, answer.holder_incarnation).is_gone) {
        // A claim of this instance with another id belongs to a request that may have been
        // dispatched and whose entry was evicted from the table.
        const auto* text = "an earlier request with the key may have run; its outcome is lost";
        abandon_and_answer(request, handler, refuse(verdict::may_have_run, "outcome-lost", text),
                           now);
        return;
    }
    query_holder(request, handler, answer, now);
}

void idempotency_guard::query_holder(const keyed_request& request, const admission_handler& handler,
                                     const claim_answer& answer, steady_time now)
{
    const auto id = random_id();
    queries_[id] = {request, handler, answer, now + config_.query_timeout};
    callbacks_.peers.send(answer.holder,
                          outcome_query{id, request.account, hash_key(request.account, request.key),
                                        request.body_hash, answer.recorded_claim_id});
}

void idempotency_guard::on_reply(const outcome_reply& reply, steady_time now)
{
    const auto it = queries_.find(reply.query_id);
    if (it == queries_.end()) {
        return;
    }
    const auto query = std::move(it->second);
    queries_.erase(it);
    const auto address =
        callbacks_.holder(query.claim.holder, query.claim.holder_incarnation).caller_address;
    admission answer = refuse(verdict::may_have_run, "outcome-lost",
                              "an earlier request with the key may have run; its outcome is lost");
    if (reply.is_known && reply.is_other_body) {
        answer = refuse_other_body();
    }
    else if (reply.is_known && !reply.is_finished) {
        answer = refuse(verdict::may_have_run, "in-progress",
                        "a request with the key is in progress at another instance",
                        default_retry_after, address);
    }
    else if (reply.is_known && reply.result.run == verdict::not_run) {
        answer = refuse(verdict::not_run, "other-instance",
                        "another instance holds the key and has not run it", default_retry_after,
                        address);
    }
    else if (reply.is_known) {
        answer = answer_joined(reply.result);
    }
    abandon_and_answer(query.request, query.handler, answer, now);
}

void idempotency_guard::abandon_and_answer(const keyed_request& request,
                                           const admission_handler& handler,
                                           const admission& answer, steady_time now)
{
    outcome joined = answer.response;
    if (answer.kind == admission_kind::refuse) {
        joined = {0, {}, {}, answer.reason.run, false};
    }
    table_.abandon(request.account, hash_key(request.account, request.key), joined, now);
    handler(answer);
}

void idempotency_guard::finish(const keyed_request& request, const outcome& result, steady_time now)
{
    table_.finish(request.account, hash_key(request.account, request.key), result, now);
}

void idempotency_guard::abandon(const keyed_request& request, const outcome& result,
                                steady_time now)
{
    if (result.run != verdict::not_run) {
        finish(request, result, now); // it may have run: the key must not be used again
        return;
    }
    table_.abandon(request.account, hash_key(request.account, request.key), result, now);
}

void idempotency_guard::answer_query(const std::string& from, const outcome_query& query)
{
    const auto found =
        table_.lookup(query.account, query.key_hash, query.body_hash, query.claim_id);
    callbacks_.peers.send(from, outcome_reply{query.query_id, found.is_known, found.is_finished,
                                              found.is_other_body, found.result});
}

void idempotency_guard::receive(const std::string& from, const message& received, steady_time now)
{
    if (const auto* request = std::get_if<claim_request>(&received)) {
        owner_.submit(
            *request,
            [this, from](const claim_answer& answer) { callbacks_.peers.send(from, answer); }, now);
    }
    else if (const auto* answer = std::get_if<claim_answer>(&received)) {
        claimer_.on_answer(*answer);
    }
    else if (const auto* query = std::get_if<outcome_query>(&received)) {
        answer_query(from, *query);
    }
    else if (const auto* reply = std::get_if<outcome_reply>(&received)) {
        on_reply(*reply, now);
    }
}

void idempotency_guard::tick(steady_time now)
{
    owner_.tick(now);
    claimer_.tick(now);
    table_.expire(now);
    std::vector<std::string> timed_out;
    for (const auto& [id, it] : queries_) {
        if (now >= it.deadline) {
            timed_out.push_back(id);
        }
    }
    for (const auto& id : timed_out) {
        on_reply({id, false, false, false, {}}, now);
    }
}

} // namespace almondline::idempotency
