#include "bench/internal/control_roles.h"
#include "granting/internal/messages.h"
#include "idempotency/wire_format.h"
#include "membership/wire_format.h"
#include "peer/wire.h"

namespace almondline::bench {

namespace {

constexpr int batch = 1000;
/// Ids as long as those from random_id() and the platform.
const std::string request_id = "0123456789abcdef0123456789abcdef";
const std::string credit_id = "entry-0123-1796000000000-123456";

granting::credit sample_credit(const std::string& id)
{
    return {id, "chat/region-1/0123", credit_id, "backend-00123", "10.20.30.40:9000", {}, ""};
}

wire::envelope sample_credit_request(int blocks)
{
    scheduling::credit_request request;
    request.request_id = request_id;
    request.account = "account-0123";
    request.kind = "draft";
    request.model = "model-1";
    request.cost = 2500;
    request.prompt_tokens = 2150;
    request.output_tokens = 314;
    request.estimated_service = std::chrono::seconds{12};
    request.deadline = steady_time{std::chrono::seconds{60}};
    for (int i = 0; i < blocks; ++i) {
        request.prefix_blocks.push_back(0x9e3779b97f4a7c15U * static_cast<std::uint64_t>(i + 1));
    }
    return granting::make_credit_request_message("chat/region-1/0123", request, false, {});
}

wire::envelope sample_grant(int candidates)
{
    wire::grant_message grant;
    grant.request_id = request_id;
    grant.pool = "chat/region-1/0123";
    grant.credit_id = credit_id;
    grant.backend_id = "backend-00123";
    grant.backend_address = "10.20.30.40:9000";
    grant.lifetime_ms = 1800;
    grant.__set_reason("least-expected-time");
    std::vector<std::string> described;
    described.reserve(static_cast<std::size_t>(candidates));
    for (int i = 0; i < candidates; ++i) {
        described.push_back("backend-0012" + std::to_string(i % 10) + "=1.234");
    }
    grant.__set_candidates(described);
    wire::envelope message;
    message.__set_grant(grant);
    return message;
}

wire::envelope sample_probe(int updates)
{
    membership::probe_message probe;
    probe.nonce = 123'456;
    for (int i = 0; i < updates; ++i) {
        membership::member it;
        it.id = "entry-0" + std::to_string(100 + i);
        it.incarnation = 1'796'000'000'000;
        it.peer_address = "10.20.30.40:7400";
        it.caller_address = "10.20.30.40:8400";
        it.failure_domain = "region-1-domain-2";
        it.manifest_version = 1'000'000;
        probe.updates.push_back(it);
    }
    wire::envelope message;
    membership::to_wire(probe, message);
    return message;
}

/// Report of a granter to the candidates for placement control.
wire::envelope sample_demand(int replicas)
{
    wire::pool_demand demand;
    demand.pool = "chat/region-1/0123";
    for (int i = 0; i < 8; ++i) {
        wire::model_load load;
        load.model = "model-1";
        load.account = "account-0123";
        load.tier = i % 5;
        load.waiting_cost = 1000;
        load.running_cost = 1000;
        load.waiting = 3;
        load.running = 9;
        demand.loads.push_back(load);
    }
    for (int i = 0; i < replicas; ++i) {
        wire::replica_load load;
        load.replica_id = "backend-00123";
        load.address = "10.20.30.40:9000";
        load.failure_domain = "region-1-domain-2";
        load.models = {"model-1"};
        load.in_flight = 60;
        load.max_in_flight = 90;
        demand.replicas.push_back(load);
    }
    wire::envelope message;
    message.__set_demand(demand);
    return message;
}

wire::envelope sample_claim(int id_bytes)
{
    const std::string id(static_cast<std::size_t>(id_bytes), 'a');
    wire::envelope message;
    idempotency::to_wire(idempotency::claim_request{id, "account-0123", request_id, "entry-0123",
                                                    1'796'000'000'000, id},
                         message);
    return message;
}

wire::envelope sample_claimed(int id_bytes)
{
    idempotency::claim_answer answer;
    answer.claim_id = std::string(static_cast<std::size_t>(id_bytes), 'a');
    answer.status = idempotency::claim_status::claimed;
    answer.holder = "entry-0123";
    answer.holder_incarnation = 1'796'000'000'000;
    wire::envelope message;
    idempotency::to_wire(answer, message);
    return message;
}

void add_kind(control_role& role, const std::string& kind, const std::string& variable,
              const std::vector<int>& sizes, const std::function<wire::envelope(int)>& make)
{
    for (const int size : sizes) {
        const wire::envelope message = make(size);
        const std::string frame = encode(message);
        role.add(kind + " bytes", "B", variable, size, static_cast<double>(frame.size()));
        role.add(kind + " encode", "ns", variable, size,
                 min_ns_per_call(batch, [&] { encode(message); }));
        role.add(kind + " decode", "ns", variable, size,
                 min_ns_per_call(batch, [&] { decode(frame); }));
    }
}

} // namespace

control_role measure_frames()
{
    control_role role{"frames", {}};
    const std::vector<int> lengths{16, 32, 64, 128};
    add_kind(role, "ask", "prefix blocks", {0, 64, 134, 500}, sample_credit_request);
    add_kind(role, "grant", "candidates", {1, 3, 8, 16}, sample_grant);
    add_kind(role, "confirm", "request id bytes", lengths, [](int n) {
        return granting::make_confirm_message(
            sample_credit(std::string(static_cast<std::size_t>(n), 'a')));
    });
    add_kind(role, "release", "request id bytes", lengths, [](int n) {
        granting::release_report report;
        report.actual_cost = 2500;
        report.first_token = std::chrono::milliseconds{400};
        report.duration = std::chrono::milliseconds{12'600};
        report.prompt_tokens = 2150;
        report.output_tokens = 314;
        return granting::make_release_message(
            sample_credit(std::string(static_cast<std::size_t>(n), 'a')), report);
    });
    add_kind(role, "refusal", "request id bytes", lengths, [](int n) {
        const refusal queue_full{verdict::not_run, "queue-full", "the queue of the pool is full",
                                 std::chrono::milliseconds{1000}};
        return granting::make_refusal_message(
            "chat/region-1/0123", std::string(static_cast<std::size_t>(n), 'a'), queue_full);
    });
    add_kind(role, "probe", "updates", {1, 2, 4, 8}, sample_probe);
    add_kind(role, "demand", "replicas", {2, 12, 24, 48}, sample_demand);
    add_kind(role, "claim", "request id bytes", lengths, sample_claim);
    add_kind(role, "claimed", "request id bytes", lengths, sample_claimed);
    return role;
}

} // namespace almondline::bench
