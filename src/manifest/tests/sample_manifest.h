#pragma once

#include <string>

namespace almondline {

/// Small valid manifest. Tests replace parts of the text.
inline const std::string sample_manifest = R"({
  "schema": 1, "name": "sample",
  "tiers": [{"name": "urgent", "floor": 0.2}, {"name": "batch", "floor": 0.1}],
  "kinds": [{"name": "draft", "weight": 2}, {"name": "print", "floor": 0.1}],
  "accounts": [{"name": "desk", "weight": 1, "max_in_progress": 9, "tiers": ["batch"],
    "key_hashes": ["ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"]}],
  "engine_classes": [{"name": "g1", "prefill_tokens_per_second": 9000,
    "decode_tokens_per_second": 60, "kv_tokens": 200000, "max_in_flight": 16}],
  "services": [
    {"name": "chat", "type": "model", "models": ["m1"], "default_tier": "batch",
     "default_kind": "draft", "deadline_ms": 30000},
    {"name": "desk", "type": "plain", "default_tier": "urgent", "default_kind": "print",
     "calls": [{"method": "POST", "path": "/jobs", "idempotent": false}]}],
  "placements": [{"model": "m1", "size_mb": 14000, "min_replicas": 1, "max_replicas": 3}]
})";

/// Returns the sample with the first occurrence of a part replaced.
inline std::string sample_with(const std::string& part, const std::string& replacement)
{
    std::string text = sample_manifest;
    const auto at = text.find(part);
    return at == text.npos ? "no such part: " + part : text.replace(at, part.size(), replacement);
}

} // namespace almondline
