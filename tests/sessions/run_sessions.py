"""Compares whole sessions with golden files: caller, entry instance and backend server.

All are real processes. Each session's exchanges are compared byte for byte with the file next to
this program after ids, addresses and times are masked. --update rewrites the files.
"""

import argparse
import difflib
import json
import os
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from sessions.tap import Tap  # noqa: E402
from sessions.transcript import Masker, format_exchange  # noqa: E402
from support import http_client  # noqa: E402
from support.chat import chat_body  # noqa: E402
from support.fleet import Fleet, stop_on_signals  # noqa: E402
from support.manifests import MODEL, account_key, make_manifest  # noqa: E402

GOLDEN_DIRECTORY = Path(__file__).resolve().parent
MANIFEST_LIMIT_S = 5.0


class SessionFleet:
    """One platform, engine, plain service and entry instance, with a tap before each backend."""

    def __init__(self, fleet):
        self.fleet = fleet
        fleet.start_platform()
        self.taps = {}
        self._tap(fleet.start_engine("engine-0", "gen4", "domain-a"))
        self._tap(fleet.start_plain("booking-0", "domain-a"))
        self.manifest = make_manifest("sessions")
        self.published = self._publish(0)
        self.entry = fleet.start_entry("entry-0", "domain-a")
        fleet.wait_ready()

    def _tap(self, process):
        tap = Tap(process.address)
        self.taps[process.name] = tap
        self.fleet.records[process.name]["address"] = tap.address
        self.fleet.set_listed(process.name)

    def _publish(self, based_on):
        done = self.fleet.publish(self.manifest, based_on)
        return f"--- almondctl manifest publish: exit code {done.returncode}\n" \
               f"{done.stdout}{done.stderr}"

    def publish_without_tier(self):
        """Removes the tier "batch" from the account "north" and waits until that is in force."""
        self.manifest["accounts"][0]["tiers"] = ["urgent", "standard"]
        text = self._publish(1)
        deadline = time.monotonic() + MANIFEST_LIMIT_S
        while time.monotonic() < deadline:
            answer = self._raw_call(*self._chat("probe", 1, False, "batch"))
            if b" 403 " in answer[1][:20]:
                break
            time.sleep(0.1)
        self._take_backend_exchanges()
        return text

    @staticmethod
    def _chat(prompt, tokens, stream, tier):
        body = json.dumps(chat_body(MODEL, prompt, tokens, stream)).encode()
        return "/v1/chat/completions", tier, body

    def _raw_call(self, target, tier, body):
        headers = {"Authorization": f"Bearer {account_key('north')}", "X-Tier": tier,
                   "Content-Type": "application/json"}
        request = http_client.encode_request("POST", target, headers, body)
        response = b""
        address = http_client.split_address(self.entry.address)
        with socket.create_connection(address, timeout=20) as connection:
            connection.sendall(request)
            while data := connection.recv(65536):
                response += data
        return request, response

    def _take_backend_exchanges(self):
        # The tap may still be relaying the last bytes of a backend's answer.
        time.sleep(0.1)
        return [(name, it) for name, tap in self.taps.items() for it in tap.take()]

    def call(self, target, tier, body):
        self._take_backend_exchanges()
        request, response = self._raw_call(target, tier, body)
        text = ""
        for name, exchange in self._take_backend_exchanges():
            text += format_exchange(f"entry to {name}", *exchange)
        return text + format_exchange("caller to entry", request, response)

    def chat(self, prompt, tokens, stream, tier="standard"):
        return self.call(*self._chat(prompt, tokens, stream, tier))

    def order_fault(self, name, **order):
        process = {**self.fleet.engines, **self.fleet.plains}[name]
        self.fleet.order_fault(process, **order)


def plain_answer(fleet):
    return fleet.chat("What is on the shelf?", 4, False)


def stream(fleet):
    return fleet.chat("Read me the first line.", 3, True)


def refusal_not_run(fleet):
    fleet.order_fault("engine-0", kind="refuse-admission", count=1)
    return fleet.chat("Is there room?", 3, False)


def refusal_may_have_run(fleet):
    fleet.order_fault("booking-0", kind="reset-after", count=1)
    return fleet.call("/services/booking/seats/book", "urgent", b'{"seat":7}')


def manifest_change(fleet):
    text = fleet.chat("Before the change.", 2, False, "batch")
    text += fleet.publish_without_tier()
    return text + fleet.chat("After the change.", 2, False, "batch")


# The manifest change comes last, because the others rely on the first manifest.
SESSIONS = [plain_answer, stream, refusal_not_run, refusal_may_have_run, manifest_change]


def compare(name, text, update):
    """Returns True if the text equals its golden file."""
    path = GOLDEN_DIRECTORY / f"{name}.golden"
    if update:
        path.write_text(text)
        print(f"{name}: written")
        return True
    golden = path.read_text() if path.exists() else ""
    if text == golden:
        print(f"{name}: ok")
        return True
    print(f"{name}: differs")
    lines = difflib.unified_diff(golden.splitlines(), text.splitlines(), str(path.name), "now",
                                 lineterm="")
    print("\n".join(lines))
    return False


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--update", action="store_true", help="rewrite the golden files")
    parser.add_argument("--bin", help="directory of the programs")
    arguments = parser.parse_args()
    if arguments.bin:
        os.environ["ALMONDLINE_BIN"] = arguments.bin
    stop_on_signals()
    with Fleet() as fleet:
        session_fleet = SessionFleet(fleet)
        results = [compare(it.__name__, Masker().mask(it(session_fleet)), arguments.update)
                   for it in SESSIONS]
        for tap in session_fleet.taps.values():
            tap.close()
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
