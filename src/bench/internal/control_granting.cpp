#include "bench/internal/control_roles.h"
#include "granting/credit_client.h"
#include "granting/granter.h"
#include "granting/internal/messages.h"
#include "peer/wire.h"
#include "routing/routing.h"

#include <map>
#include <memory>
#include <queue>
#include <utility>

namespace almondline::bench {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds tick{50};
constexpr milliseconds warm_up{40'000};
constexpr milliseconds measured_time{60'000};
constexpr milliseconds deadline{60'000};
/// 22 million tokens/s over 70,000 requests/s are 314 tokens per request, at 40 ms between tokens.
constexpr milliseconds service{12'600};
constexpr int holders = 4;
constexpr int replicas = 3;
/// Mean prompt of the workload of the policy comparison; a prefix block has 16 tokens.
constexpr int prompt_tokens = 2150;
constexpr int prefix_blocks = prompt_tokens / 16;
constexpr double steady_use = 0.8;   ///< share of the slots in use
constexpr double overload_use = 2.0; ///< offered load relative to the capacity of the slots
const std::string pool = "chat/region-1/0123";
const std::string granter_id = "entry-0001";

struct packet {
    std::string from;
    std::string to;
    std::string frame;
};

/// Encodes each message, as the peer transport does.
struct wire_sender final : peer_sender {
    wire_sender(std::string id, std::vector<packet>& out) : from{std::move(id)}, sent{out} {}
    void send(const std::string& instance_id, const wire::envelope& message) override
    {
        sent.push_back({from, instance_id, encode(message)});
    }

    std::string from;
    std::vector<packet>& sent;
};

scheduling::queue_config make_queue_config()
{
    scheduling::queue_config config;
    config.tiers = {{"t0", 0}, {"t1", 0.1}, {"t2", 0.1}, {"t3", 0.05}, {"t4", 0.05}};
    config.max_waiting = 1000;
    return config;
}

scheduling::credit_request make_credit_request(int number, steady_time now)
{
    scheduling::credit_request request;
    request.request_id = "0123456789abcdef01234567" + std::to_string(10'000'000 + number);
    request.account = "account-" + std::to_string(number % 840);
    request.kind = "draft";
    request.model = "model-1";
    request.tier = number % 5;
    request.cost = 2500;
    request.prompt_tokens = prompt_tokens;
    request.output_tokens = 314;
    request.arrived = now;
    request.deadline = now + deadline;
    for (int i = 0; i < prefix_blocks; ++i) {
        request.prefix_blocks.push_back(0x9e3779b97f4a7c15U *
                                        static_cast<std::uint64_t>(number * prefix_blocks + i + 1));
    }
    return request;
}

void add_replicas(granting::granter& granter, int count, int slots, steady_time now)
{
    for (int i = 0; i < count; ++i) {
        routing::replica_spec spec;
        spec.id = "backend-" + std::to_string(10'000 + i);
        spec.address = "10.20.30.40:9000";
        spec.engine_class = "generation-1";
        spec.max_in_flight = std::max(1, slots / count);
        routing::update_replica(granter.replicas(), spec, now);
    }
}

struct side_totals {
    double messages = 0; ///< sent and received
    double bytes = 0;
    double processor_ns = 0;
};

/// One granter and several holders on other instances, in virtual time.
class granting_run {
public:
    granting_run(double rate, double use)
        : rate_{rate}, granter_sender_{granter_id, in_flight_},
          decisions_{clock_}, granter_{{.instance_id = granter_id, .pool = pool},
                                       make_queue_config(),
                                       clock_,
                                       granter_sender_,
                                       decisions_}
    {
        const double seconds = std::chrono::duration<double>{service}.count();
        add_replicas(granter_, replicas, static_cast<int>(rate * seconds / use), clock_.now());
        for (int i = 0; i < holders; ++i) {
            const std::string id = "entry-" + std::to_string(1000 + i);
            senders_.push_back(std::make_unique<wire_sender>(id, in_flight_));
            credit_clients_.push_back(std::make_unique<granting::credit_client>(
                granting::credit_client_settings{.instance_id = id}, clock_, *senders_.back(),
                [](const std::string&) {
                    return granting::pool_owner_id{granter_id, 1};
                },
                decisions_));
            index_[id] = credit_clients_.size() - 1;
        }
    }

    void run()
    {
        run_for(warm_up);
        granter_side = {};
        holder_side = {};
        requests = 0;
        run_for(measured_time);
    }

    side_totals granter_side;
    side_totals holder_side;
    int requests = 0;

private:
    void run_for(milliseconds time)
    {
        for (milliseconds spent{0}; spent < time; spent += tick) {
            clock_.advance(tick);
            const auto due = std::exchange(in_flight_, {});
            const double start = processor_ns();
            for (const packet& it : due) {
                if (it.to == granter_id) {
                    granter_.handle(it.from, decode(it.frame));
                }
            }
            granter_.tick(clock_.now());
            const double middle = processor_ns();
            for (const packet& it : due) {
                if (it.to != granter_id) {
                    credit_clients_[index_.at(it.to)]->handle(it.from, decode(it.frame));
                }
            }
            release_finished();
            for (const auto& it : credit_clients_) {
                it->tick(clock_.now());
            }
            start_requests();
            granter_side.processor_ns += middle - start;
            holder_side.processor_ns += processor_ns() - middle;
            count(due);
        }
    }

    void count(const std::vector<packet>& due)
    {
        for (side_totals* side : {&granter_side, &holder_side}) {
            for (const packet& it : due) {
                ++side->messages;
                side->bytes += static_cast<double>(it.frame.size());
            }
        }
    }

    void start_requests()
    {
        requests_due_ += rate_ * std::chrono::duration<double>{tick}.count();
        for (; requests_due_ >= 1; requests_due_ -= 1) {
            const int number = started_++;
            ++requests;
            granting::credit_client& client =
                *credit_clients_[static_cast<std::size_t>(number % holders)];
            scheduling::credit_request request = make_credit_request(number, clock_.now());
            const std::string id = request.request_id;
            client.request_credit(pool, std::move(request),
                                  [this, id, &client](const granting::credit_result& result) {
                                      if (result.granted && client.confirm(id)) {
                                          running_.push({clock_.now() + service, {id, &client}});
                                      }
                                  });
        }
    }

    void release_finished()
    {
        const granting::release_report report{.actual_cost = 2500,
                                              .first_token = milliseconds{400},
                                              .duration = service,
                                              .prompt_tokens = prompt_tokens,
                                              .output_tokens = 314};
        while (!running_.empty() && running_.front().first <= clock_.now()) {
            const auto [id, client] = running_.front().second;
            running_.pop();
            client->release(id, report);
        }
    }

    double rate_;
    double requests_due_ = 0;
    int started_ = 0;
    manual_clock clock_;
    std::vector<packet> in_flight_;
    wire_sender granter_sender_;
    granting::decision_log decisions_;
    granting::granter granter_;
    std::vector<std::unique_ptr<wire_sender>> senders_;
    std::vector<std::unique_ptr<granting::credit_client>> credit_clients_;
    std::map<std::string, std::size_t> index_;
    std::queue<std::pair<steady_time, std::pair<std::string, granting::credit_client*>>> running_;
};

void add_run(control_role& role, const std::string& load, double rate, double use)
{
    const auto run = std::make_unique<granting_run>(rate, use);
    run->run();
    const double count = run->requests;
    const std::string variable = "requests/s";
    role.add(load + " messages", "per request", variable, rate, run->granter_side.messages / count);
    role.add(load + " bytes", "B per request", variable, rate, run->granter_side.bytes / count);
    role.add(load + " granter time", "ns per request", variable, rate,
             run->granter_side.processor_ns / count);
    role.add(load + " holder time", "ns per request", variable, rate,
             run->holder_side.processor_ns / count);
}

/// Returns the heap bytes of a granter with replicas and waiting credit requests.
double granter_memory(int replica_count, int waiting)
{
    manual_clock clock;
    std::vector<packet> sent;
    wire_sender sender{granter_id, sent};
    granting::decision_log decisions{clock, 1};
    scheduling::queue_config config = make_queue_config();
    config.max_waiting = static_cast<std::size_t>(waiting) + 1;
    const double before = heap_bytes();
    granting::granter granter{
        {.instance_id = granter_id, .pool = pool}, config, clock, sender, decisions};
    add_replicas(granter, replica_count, replica_count, clock.now());
    for (int i = 0; i < waiting; ++i) {
        // Within the takeover delay, so that nothing is granted.
        granter.handle("entry-" + std::to_string(1000 + i % holders),
                       granting::make_credit_request_message(
                           pool, make_credit_request(i, clock.now()), false, clock.now()));
    }
    return heap_bytes() - before;
}

/// Discards all messages, so that they do not count towards the memory of the sending object.
struct dropping_sender final : peer_sender {
    void send(const std::string&, const wire::envelope&) override {}
};

/// Returns the heap bytes of a credit client whose requests wait for an answer.
double credit_client_memory(int waiting)
{
    manual_clock clock;
    dropping_sender sender;
    granting::decision_log decisions{clock, 1};
    const double before = heap_bytes();
    granting::credit_client client{{.instance_id = "entry-1000"},
                                   clock,
                                   sender,
                                   [](const std::string&) {
                                       return granting::pool_owner_id{granter_id, 1};
                                   },
                                   decisions};
    for (int i = 0; i < waiting; ++i) {
        client.request_credit(pool, make_credit_request(i, clock.now()),
                              [](const granting::credit_result&) {});
    }
    return heap_bytes() - before;
}

} // namespace

control_role measure_granting()
{
    control_role role{"granting", {}};
    for (const double rate : {10.0, 20.0, 40.0, 80.0, 200.0}) {
        add_run(role, "steady", rate, steady_use);
        add_run(role, "overload", rate, overload_use);
    }
    for (const int waiting : {250, 500, 1000, 2000, 4000}) {
        role.add("memory of asks", "B", "waiting asks", waiting, granter_memory(replicas, waiting));
    }
    for (const int waiting : {250, 500, 1000, 2000, 4000}) {
        role.add("memory of an asker", "B", "waiting asks", waiting, credit_client_memory(waiting));
    }
    for (const int count : {2, 16, 64, 256}) {
        role.add("memory of replicas", "B", "replicas", count, granter_memory(count, 0));
    }
    return role;
}

} // namespace almondline::bench
