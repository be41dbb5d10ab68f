"""Demonstration: a small fleet, a manifest, requests of several tiers and their decisions."""

import json
import subprocess
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))

from support.chat import chat_body  # noqa: E402
from support.fleet import Fleet, stop_on_signals  # noqa: E402
from support.manifests import MODEL, account_key, make_manifest  # noqa: E402

REQUESTS = [
    ("urgent", "north", "plain answer", chat_body(MODEL, "Is the reading room open?", 6, False)),
    ("standard", "south", "stream", chat_body(MODEL, "Describe the collection.", 5, True)),
    ("batch", "east", "plain answer", chat_body(MODEL, "Summarize chapter one.", 8, False)),
]


def show(text):
    print(text, flush=True)


def run_curl(address, path, account, tier, body):
    """Shows and runs curl, and returns the request id of the answer."""
    command = ["curl", "--silent", "--show-error", "--include", "--max-time", "30",
               "--header", f"Authorization: Bearer {account_key(account)}",
               "--header", f"X-Tier: {tier}", "--data", json.dumps(body),
               f"http://{address}{path}"]
    show("$ " + " ".join(f"'{it}'" if " " in it else it for it in command))
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    show(done.stdout.replace("\r", "").rstrip() or done.stderr)
    if done.returncode != 0:
        raise RuntimeError(f"curl ended with {done.returncode}")
    for line in done.stdout.splitlines():
        name, _, value = line.partition(":")
        if name.lower() == "x-request-id":
            return value.strip()
    raise RuntimeError("the answer carries no X-Request-Id")


def show_decisions(fleet, entry, request_id):
    done = fleet.run_ctl("explain", request_id, entry=entry.address)
    show(f"$ almondctl explain {request_id}")
    show(done.stdout.rstrip() or done.stderr.rstrip())
    if done.returncode != 0:
        raise RuntimeError(f"almondctl ended with {done.returncode}")


def run_demo(fleet):
    show("== Starting 1 platform, 4 engines, 1 plain service and 6 entry instances")
    fleet.start_small()
    for process in fleet.started:
        show(f"   {process.name:<10} {process.address}  pid {process.child.pid}")
    show("== Publishing a manifest")
    done = fleet.publish(make_manifest("demonstration"), based_on=0)
    show(done.stdout.rstrip() or done.stderr.rstrip())
    if done.returncode != 0:
        raise RuntimeError(f"almondctl ended with {done.returncode}")
    fleet.wait_ready()
    entries = list(fleet.entries.values())
    for i, (tier, account, form, body) in enumerate(REQUESTS):
        show(f"\n== {form}, tier {tier}, account {account}")
        entry = entries[i]
        request_id = run_curl(entry.address, "/v1/chat/completions", account, tier, body)
        show_decisions(fleet, entry, request_id)
    show("\n== Plain service, a call that must not run twice")
    entry = entries[3]
    request_id = run_curl(entry.address, "/services/booking/seats/book", "north", "urgent",
                          {"seat": 4})
    show_decisions(fleet, entry, request_id)


def main():
    stop_on_signals()
    try:
        with Fleet() as fleet:
            run_demo(fleet)
            show("\n== Stopping")
    except KeyboardInterrupt:
        show("interrupted; everything is stopped")
        return 130
    except Exception as e:  # Shown as one line: the processes have been stopped by then.
        show(f"demonstration failed: {e}")
        return 1
    show("everything is stopped")
    return 0


if __name__ == "__main__":
    sys.exit(main())
