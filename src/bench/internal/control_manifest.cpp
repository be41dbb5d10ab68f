#include "bench/internal/control_roles.h"
#include "bench/internal/control_samples.h"
#include "common/hash.h"
#include "manifest/parse.h"

#include <stdexcept>

namespace almondline::bench {

namespace {

constexpr int keys_per_account = 5;
constexpr int models = 5;

void add_account(std::string& text, int number)
{
    const std::string name = "account-" + std::to_string(number);
    text += number == 0 ? "" : ",\n";
    text += R"({"name": ")" + name +
            R"(", "weight": 1, "max_in_progress": 100, "tiers": ["normal", "batch"], )" +
            R"("key_hashes": [)";
    for (int key = 0; key < keys_per_account; ++key) {
        text += (key == 0 ? "\"" : ", \"") + sha256_hex(name + std::to_string(key)) + "\"";
    }
    text += "]}";
}

} // namespace

std::string make_manifest_text(int accounts)
{
    std::string text = R"({"schema": 1, "name": "capacity",
"tiers": [{"name": "urgent", "floor": 0.1}, {"name": "normal", "floor": 0.1},
  {"name": "draft", "floor": 0}, {"name": "batch", "floor": 0.05}, {"name": "idle", "floor": 0}],
"kinds": [{"name": "draft", "weight": 2}],
"accounts": [)";
    for (int i = 0; i < accounts; ++i) {
        add_account(text, i);
    }
    text += R"(],
"engine_classes": [{"name": "g1", "prefill_tokens_per_second": 9000,
  "decode_tokens_per_second": 60, "kv_tokens": 200000, "max_in_flight": 16}],
"services": [{"name": "chat", "type": "model", "models": [)";
    std::string placements;
    for (int i = 0; i < models; ++i) {
        const std::string separator = i == 0 ? "" : ", ";
        const std::string name = "model-" + std::to_string(i);
        text += separator + "\"" + name + "\"";
        placements += separator + R"({"model": ")" + name +
                      R"(", "size_mb": 14000, "min_replicas": 1, "max_replicas": 3000})";
    }
    return text + R"(], "default_tier": "normal", "default_kind": "draft", "deadline_ms": 30000}],
"placements": [)" +
           placements + "]}\n";
}

control_role measure_manifest()
{
    control_role role{"manifest", {}};
    const std::string variable = "accounts";
    for (const int accounts : {5, 50, 200, 840}) {
        const std::string text = make_manifest_text(accounts);
        parse_error error;
        const double before = heap_bytes();
        const auto parsed = try_parse_manifest(text, "capacity", error);
        if (!parsed) {
            throw std::runtime_error{"the sample manifest is not valid: " + error.message};
        }
        role.add("memory", "B", variable, accounts, heap_bytes() - before);
        role.add("text", "B", variable, accounts, static_cast<double>(text.size()));
        role.add("parse", "ns", variable, accounts, min_ns_per_call(3, [&] {
                     parse_error unused;
                     try_parse_manifest(text, "capacity", unused);
                 }));
    }
    return role;
}

} // namespace almondline::bench
