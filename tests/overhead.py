"""Measures what an entry instance adds to a direct call of an engine, on loopback.

Starts a platform, one fast engine and three entry instances, and runs `almondline-bench overhead`.
One of the three grants the credits for the engine; the other two request them over the network.
"""

import subprocess
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))

from support import manifests  # noqa: E402
from support.fleet import DOMAINS, Fleet, stop_on_signals  # noqa: E402
from support.process import program  # noqa: E402

# The engine answers immediately, so that only the entry instance adds to the time of a call.
FAST_ENGINE = ["--time-scale", "1000", "--max-waiting", "2000", "--tick-ms", "1",
               "--decode-interference", "0"]
ENGINE_CLASS = ("gen4", (32_000, 120, 10_000_000, 2000))
STREAMS = 500
PACED_SLOW_FACTOR = 4800  # 25 tokens/s a stream, twice the rate of 79 ms between tokens
MEMBERSHIP_SETTLE_S = 2.0  # until each instance knows the granter


def make_manifest():
    return manifests.make_manifest(name="overhead", max_waiting=2000, deadline_ms=60_000)


def run():
    stop_on_signals()
    manifests.ENGINE_CLASSES[ENGINE_CLASS[0]] = ENGINE_CLASS[1]
    with Fleet() as fleet:
        fleet.start_platform()
        engine = fleet.start_engine("engine-0", ENGINE_CLASS[0], DOMAINS[0], FAST_ENGINE)
        plain = fleet.start_plain("booking-0", DOMAINS[0])
        for i in range(3):
            fleet.start_entry(f"entry-{i}", DOMAINS[i])
        published = fleet.publish(make_manifest(), 0)
        if published.returncode != 0:
            print(published.stdout + published.stderr, file=sys.stderr)
            return 1
        fleet.wait_ready()
        time.sleep(MEMBERSHIP_SETTLE_S)
        owners = [name for name in fleet.entries
                  if any(it["pool"] == "assistant" for it in fleet.status(name)["pools"])]
        print(f"granter of the engine: {', '.join(owners)}", flush=True)
        command = [program("almondline-bench", None), "overhead",
                   "--engine", engine.address,
                   "--key", manifests.account_key("north"), "--model", manifests.MODEL]
        for entry in fleet.entries.values():
            command += ["--entry", entry.address, "--entry-pid", str(entry.child.pid)]
        plain_options = ["--plain", plain.address, "--plain-service", "booking"]
        calls = subprocess.run([*command, *plain_options, "--streams", "0"], check=False, timeout=300)
        fleet.change_settings(engine, slow_factor=PACED_SLOW_FACTOR)
        print(f"\n{STREAMS} streams of 25 tokens/s each:", flush=True)
        streams = subprocess.run([*command, "--calls", "0", "--streams", str(STREAMS)],
                                 check=False, timeout=300)
        return calls.returncode or streams.returncode


if __name__ == "__main__":
    sys.exit(run())
