#include "membership/tests/simulated_fleet.h"

#include <utility>

namespace almondline::membership::tests {

std::string name_of(int index)
{
    return "entry-" + std::to_string(index);
}

simulated_fleet::simulated_fleet(int size, int domains, double loss, std::uint64_t seed,
                                 membership_config config)
    : config_{config}, domains_{domains}, loss_{loss}, random_{seed}
{
    for (int i = 0; i < size; ++i) {
        listed.insert(name_of(i));
    }
    for (int i = 0; i < size; ++i) {
        start(name_of(i), 1000);
    }
}

std::string address_of(const std::string& id)
{
    const int index = std::stoi(id.substr(6));
    return "10.20." + std::to_string(index / 256) + "." + std::to_string(index % 256) + ":7400";
}

std::string simulated_fleet::domain_of(const std::string& id) const
{
    return "domain-" + std::to_string(std::stoi(id.substr(6)) % domains_);
}

void simulated_fleet::start(const std::string& id, std::int64_t incarnation)
{
    member self;
    self.id = id;
    self.incarnation = incarnation;
    self.peer_address = address_of(id);
    self.caller_address = "10.20.30.40:8400/" + id;
    self.failure_domain = domain_of(id);
    tables[id] = std::make_unique<member_table>(self, config_, random_(), clock_.now());
    tables[id]->apply_list(list(), clock_.now());
}

std::vector<listed_instance> simulated_fleet::list() const
{
    std::vector<listed_instance> instances;
    for (const auto& id : listed) {
        listed_instance it;
        it.id = id;
        it.role = instance_role::entry;
        it.failure_domain = domain_of(id);
        instances.push_back(it);
    }
    return instances;
}

void simulated_fleet::post(const std::string& from, std::vector<outgoing_message> messages)
{
    for (auto& it : messages) {
        std::uint64_t size = 16;
        for (const auto& update : it.message.updates) {
            size += 16 + update.id.size() + update.peer_address.size() +
                    update.caller_address.size() + update.failure_domain.size();
        }
        bytes_sent[from] += size;
        in_flight_.push_back({from, std::move(it)});
    }
}

bool simulated_fleet::is_lost(const envelope& message)
{
    const auto a = domain_of(message.from);
    const auto b = domain_of(message.content.to);
    const bool is_partitioned =
        (a != b && (isolated_domains.count(a) > 0 || isolated_domains.count(b) > 0)) ||
        broken_links.count({message.from, message.content.to}) > 0;
    return is_partitioned || std::uniform_real_distribution<>{}(random_) < loss_;
}

void simulated_fleet::run(std::chrono::milliseconds duration)
{
    for (std::chrono::milliseconds elapsed{0}; elapsed < duration; elapsed += step) {
        clock_.advance(step);
        std::vector<envelope> due;
        due.swap(in_flight_);
        for (const auto& it : due) {
            const auto receiver = tables.find(it.content.to);
            if (receiver != tables.end() && !is_lost(it)) {
                post(it.content.to,
                     receiver->second->receive(it.from, it.content.message, clock_.now()));
            }
        }
        for (auto& [id, table] : tables) {
            post(id, table->tick(clock_.now()));
        }
        count_deaths();
    }
}

void simulated_fleet::count_deaths()
{
    for (const auto& [id, table] : tables) {
        if (std::exchange(seen_deaths_[id], table->deaths()) == table->deaths()) {
            continue;
        }
        for (const auto& [other, other_table] : tables) {
            const auto* known = table->find(other);
            const bool is_dead = known != nullptr && known->status == member_status::dead &&
                                 known->incarnation == other_table->self().incarnation;
            const std::pair key{id, other};
            if (is_dead && reported_dead_.insert(key).second) {
                ++false_deaths;
            }
            else if (!is_dead) {
                reported_dead_.erase(key);
            }
        }
    }
}

bool simulated_fleet::is_excluded_everywhere(const std::string& id) const
{
    for (const auto& [owner, table] : tables) {
        const auto* known = table->find(id);
        if (known != nullptr && known->incarnation > 0 && known->status == member_status::alive) {
            return false;
        }
    }
    return true;
}

std::chrono::milliseconds simulated_fleet::time_to_exclude(const std::string& id)
{
    std::chrono::milliseconds elapsed{0};
    while (!is_excluded_everywhere(id) && elapsed < std::chrono::seconds{10}) {
        run(step);
        elapsed += step;
    }
    return elapsed;
}

int simulated_fleet::count_status(const std::string& id, member_status status) const
{
    int n = 0;
    for (const auto& [owner, table] : tables) {
        const auto* known = table->find(id);
        n += known != nullptr && known->status == status ? 1 : 0;
    }
    return n;
}

} // namespace almondline::membership::tests
