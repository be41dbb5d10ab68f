#include "bench/internal/control_roles.h"
#include "membership/member_table.h"
#include "membership/wire_format.h"
#include "peer/wire.h"

#include <memory>
#include <utility>

namespace almondline::bench {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds step{50};
constexpr milliseconds settle_time{15'000}; ///< longer than the new-member period
constexpr milliseconds measured_time{10'000};
constexpr int domains = 30;

struct packet {
    std::size_t from;
    std::size_t to;
    std::string frame;
};

class membership_run {
public:
    explicit membership_run(std::size_t size)
    {
        const double before = heap_bytes();
        std::vector<listed_instance> listed;
        for (std::size_t i = 0; i < size; ++i) {
            membership::member self;
            self.id = "entry-" + std::to_string(10'000 + i);
            self.incarnation = 1'796'000'000'000;
            self.peer_address = "10.20.30.40:7400";
            self.caller_address = "10.20.30.40:8400";
            self.failure_domain = "region-1-domain-" + std::to_string(i % domains);
            listed_instance it;
            it.id = self.id;
            it.role = instance_role::entry;
            it.failure_domain = self.failure_domain;
            listed.push_back(it);
            tables_.push_back(std::make_unique<membership::member_table>(
                self, membership::membership_config{}, i + 1, clock_.now()));
        }
        for (const auto& table : tables_) {
            table->apply_list(listed, clock_.now());
            introduce(*table);
        }
        run(settle_time);
        memory = (heap_bytes() - before) / static_cast<double>(size);
    }

    void run(milliseconds time)
    {
        bytes = 0;
        messages = 0;
        const double start = processor_ns();
        for (milliseconds spent{0}; spent < time; spent += step) {
            clock_.advance(step);
            for (const packet& it : std::exchange(in_flight_, {})) {
                if (!tables_[it.to]) {
                    continue;
                }
                membership::probe_message message;
                membership::from_wire(decode(it.frame), message);
                post(it.to, tables_[it.to]->receive(name(it.from), message, clock_.now()));
            }
            for (std::size_t i = 0; i < tables_.size(); ++i) {
                if (tables_[i]) {
                    post(i, tables_[i]->tick(clock_.now()));
                }
            }
        }
        time_ns = processor_ns() - start;
    }

    void kill_one() { tables_.back().reset(); }

    double bytes = 0;
    double messages = 0;
    double time_ns = 0;
    double memory = 0; ///< bytes per member

private:
    static std::string name(std::size_t index) { return "entry-" + std::to_string(10'000 + index); }

    /// Makes all members known to a table, which would otherwise take minutes to verify many listed
    /// members.
    void introduce(membership::member_table& table)
    {
        for (const auto& other : tables_) {
            if (other.get() != &table) {
                membership::probe_message greeting;
                greeting.updates = {other->self()};
                table.receive(other->self().id, greeting, clock_.now());
            }
        }
    }

    void post(std::size_t from, const std::vector<membership::outgoing_message>& all)
    {
        for (const auto& it : all) {
            wire::envelope envelope;
            membership::to_wire(it.message, envelope);
            in_flight_.push_back({from, std::stoul(it.to.substr(6)) - 10'000, encode(envelope)});
            bytes += static_cast<double>(in_flight_.back().frame.size());
            ++messages;
        }
    }

    manual_clock clock_;
    std::vector<std::unique_ptr<membership::member_table>> tables_;
    std::vector<packet> in_flight_;
};

} // namespace

control_role measure_membership()
{
    control_role role{"membership", {}};
    for (const std::size_t size : {8U, 32U, 128U, 400U, 1000U}) {
        membership_run run{size};
        const auto members = static_cast<double>(size);
        const double member_seconds =
            members * std::chrono::duration<double>{measured_time}.count();
        run.run(measured_time);
        const double at_rest = run.bytes;
        role.add("bytes sent", "B/s", "members", members, run.bytes / member_seconds);
        role.add("messages sent", "per s", "members", members, run.messages / member_seconds);
        role.add("time", "ns per s", "members", members, run.time_ns / member_seconds);
        role.add("memory", "B", "members", members, run.memory);
        run.kill_one();
        run.run(measured_time);
        role.add("bytes sent for a failure", "B", "members", members,
                 (run.bytes - at_rest) / members);
    }
    return role;
}

} // namespace almondline::bench
