"""Case 8: after replicas were added, the slices of a service grant more than a tenant's allowance.

Ten replicas are added to the forty of a model service. Afterwards, in calm, the callers of one tenant
ask for about five times its allowance at four gateways."""

import os
import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "support-2"))

from case_fleet import (  # noqa: E402
    BOUNDS, CannotRun, Fleet, HOST, KEY, Record, desired_state, route)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GATEWAYS = 4
REPLICAS = 40
ADDED = 10                 # a quarter of them
ADD_SECONDS = 2.0
SETTLE_SECONDS = 6.0       # more than contact_ms, before the callers begin
RATE = 262529              # rate_per_s and burst of the tenant, as in the examples of the wire
TOKENS = 5000              # of each request
THREADS_PER_GATEWAY = 6
CALL_INTERVAL = 0.08
DEADLINE_MS = 1500
WORK_SECONDS = 0.015
PLAY_SECONDS = 12.0


class Runs:
    """Requests that replicas ran, with the time at which their caller sent them."""

    def __init__(self, record):
        self.record = record
        self.lock = threading.Lock()
        self.sent = {}
        self.arrived = []      # (sent, run)

    def behave(self, handler):
        request_id = handler.headers["Almondline-Attempt-Id"]
        with self.lock:
            self.arrived.append((self.sent[request_id], time.monotonic()))
        self.record(f"{handler.replica.id} runs {request_id}")
        time.sleep(WORK_SECONDS)
        return False           # the stand-in answers as usual


def call_at_intervals(fleet, gateway, runs, is_over):
    while not is_over.is_set():
        request_id = fleet.next_id()
        begin = runs.sent[request_id] = time.monotonic()
        runs.record(f"caller -> {gateway.name} {request_id}")
        try:
            status = gateway.call(
                "front", "GET", "/order/1",
                headers={"Host": HOST, "Almondline-Attempt-Id": request_id,
                         "Almondline-Deadline-Ms": str(DEADLINE_MS),
                         "Almondline-Token-Usage": f"{TOKENS},0",
                         "Authorization": f"Bearer {KEY}"}, timeout=DEADLINE_MS / 1000)[0]
        except Exception as error:  # no answer in time
            status = type(error).__name__
        runs.record(f"caller <- {gateway.name} {status} {request_id}")
        is_over.wait(max(0.0, begin + CALL_INTERVAL - time.monotonic()))


def most_in_window(runs):
    """The most tokens of requests that were both sent and run within quota_window_s."""
    window = BOUNDS["quota_window_s"]
    most = (0, 0.0)
    for begin, _ in runs.arrived:
        tokens = TOKENS * sum(begin <= sent and ran <= begin + window
                              for sent, ran in runs.arrived)
        most = max(most, (tokens, begin))
    return most


def play(record):
    engine = {"capacity": 7, "kv_capacity": 287291, "kv_token_bytes": 163840, "stride": 4,
              "models": [{"name": "m"}]}
    state = desired_state(
        [route("/order/", "pool", "idempotent", max_attempts=1)],
        [{"name": "pool", "health_path": "/health", "max_connections": 360, "engine": engine}])
    state["tenants"][0] |= {"rate_per_s": RATE, "burst": RATE}
    runs = Runs(record)
    with Fleet(state, gateways=GATEWAYS, services={"pool": REPLICAS}) as fleet:
        for n in range(ADDED if TROUBLE else 0):
            time.sleep(ADD_SECONDS / ADDED)
            fleet.add_replica(f"i-added-{n}", "pool", f"zone-{n % 3}")
            record(f"i-added-{n} is added")
        time.sleep(SETTLE_SECONDS)
        for it in fleet.replicas.values():
            it.behaviour = runs.behave
        is_over = threading.Event()
        threads = [threading.Thread(target=call_at_intervals, args=(fleet, it, runs, is_over))
                   for it in fleet.gateways for _ in range(THREADS_PER_GATEWAY)]
        begin = time.monotonic()
        for it in threads:
            it.start()
        time.sleep(PLAY_SECONDS)
        is_over.set()
        for it in threads:
            it.join()
    if not runs.arrived:
        raise CannotRun("no request ran")
    tokens, at = most_in_window(runs)
    allowed = ((RATE * BOUNDS["quota_window_s"] + RATE) * (1 + BOUNDS["quota_overage"])
               + BOUNDS["quota_slack"])
    text = (f"{tokens} tokens were sent and run in the {BOUNDS['quota_window_s']} s from "
            f"{at - begin:.2f} s on, allowed {allowed:.0f}; {len(runs.sent)} requests sent, "
            f"{len(runs.arrived)} run; QUOTA {'is broken' if tokens > allowed else 'held'}")
    record(text)
    print(text)
    return 1 if tokens > allowed else 0


def main():
    record = Record(HERE / "record.txt")
    try:
        return play(record)
    except CannotRun as error:
        record(f"the case could not run: {error}")
        print(error)
        return 2


if __name__ == "__main__":
    sys.exit(main())
