"""Manifest of the small fleet that the demonstration and the tests use."""

from support.chat import sha256

TIERS = ["urgent", "standard", "batch"]
ACCOUNTS = ["north", "south", "east"]
OPERATOR_KEY = "operator-key-for-tests"
MODEL = "almond-small"
LARGE_MODEL = "almond-large"

# Four engine generations: prefill and decode rates in tokens/s, KV tokens, batch size.
ENGINE_CLASSES = {
    "gen1": (4000, 40, 40_000, 4),
    "gen2": (8000, 60, 60_000, 6),
    "gen3": (16_000, 80, 100_000, 8),
    "gen4": (32_000, 120, 200_000, 8),
}


def account_key(account):
    return f"key-of-{account}-for-tests"


def make_manifest(name="small", max_waiting=200, deadline_ms=20_000, placements=()):
    """Returns a manifest whose model service has the models of the placements, or MODEL."""
    manifest = {
        "schema": 1,
        "name": name,
        "tiers": [
            {"name": "urgent", "floor": 0},
            {"name": "standard", "floor": 0.15},
            {"name": "batch", "floor": 0.05},
        ],
        "kinds": [
            {"name": "chat", "weight": 2, "floor": 0},
            {"name": "draft", "weight": 1, "floor": 0},
        ],
        "accounts": [
            {
                "name": account,
                "weight": 1,
                "max_in_progress": 0,
                "tiers": TIERS,
                "key_hashes": [sha256(account_key(account))],
            }
            for account in ACCOUNTS
        ],
        "engine_classes": [
            {
                "name": engine_class,
                "prefill_tokens_per_second": prefill,
                "decode_tokens_per_second": decode,
                "kv_tokens": kv_tokens,
                "max_in_flight": batch,
            }
            for engine_class, (prefill, decode, kv_tokens, batch) in ENGINE_CLASSES.items()
        ],
        "services": [
            {
                "name": "assistant",
                "type": "model",
                "models": [it["model"] for it in placements] or [MODEL],
                "default_tier": "standard",
                "default_kind": "chat",
                "deadline_ms": deadline_ms,
                "max_waiting": max_waiting,
            },
            {
                "name": "booking",
                "type": "plain",
                "default_tier": "standard",
                "default_kind": "chat",
                "deadline_ms": deadline_ms,
                "max_waiting": max_waiting,
                "calls": [
                    {"method": "GET", "path": "/seats", "idempotent": True},
                    {"method": "POST", "path": "/seats", "idempotent": False},
                    {"method": "POST", "path": "/search", "idempotent": True},
                ],
            },
        ],
    }
    if placements:
        manifest["placements"] = list(placements)
    return manifest
