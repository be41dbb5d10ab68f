"""A table of requests whose server falls silent and goes on, while another server that is asked
beside it fails and the configuration or the list of servers changes."""

import sys
import unittest
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from hedged_fleet import (CHANGE_DELAYS, FAILURES, Caller, HedgedFleet, closes,  # noqa: E402
                          expected_body, hangs, is_down)

KINDS = ["/order/", "/look/", "/stream/", "/resume-stream/"]
MOMENTS = [0, 1]  # events, or whether bytes of the body were sent, before the silence
SERVICES = ["desk", "pool"]


def set_all(routes, **fields):
    for it in routes:
        it |= fields


def move(content):
    for it in content["routes"]:
        it["service"] = "desk" if it["service"] == "pool" else "pool"


# What happens while the first servers are silent.
CHANGES = {
    "nothing": lambda fleet, firsts: None,
    "first server removed": lambda fleet, firsts: [fleet.remove(it) for it in firsts],
    "first server draining": lambda fleet, firsts: [fleet.announce(it, state="draining")
                                                    for it in firsts],
    "timeouts shortened": lambda fleet, _: fleet.publish(
        lambda it: set_all(it["routes"], timeout_ms=300)),
    "attempts shortened": lambda fleet, _: fleet.publish(
        lambda it: set_all(it["routes"], max_attempts=1)),
    "routes removed": lambda fleet, _: fleet.publish(
        lambda it: it.update(routes=[it["routes"][-1]])),
    "routes moved": lambda fleet, _: fleet.publish(move),
    "one connection to each server": lambda fleet, _: fleet.publish(
        lambda it: [service.update(max_connections=1) for service in it["services"]]),
}


class SilenceTableTest(unittest.TestCase):
    def play(self, fleet, name, change, fail, delay):
        """Returns the callers that did not get the answer that their first server had ready."""
        firsts = [fleet.add_known_server(it) for it in SERVICES]
        fleet.publish()
        fleet.wait_for_version()
        fleet.fail = fail
        callers = []
        for kind in KINDS:
            for sent_before in MOMENTS:
                path = f"{kind}{name}/{sent_before}".replace(" ", "-")
                fleet.silences[path] = sent_before
                callers.append(Caller(fleet, path))
        paths = [it.path for it in callers]
        fleet.wait_for_arrivals(paths)
        seconds = [fleet.add_server(it) for it in SERVICES]
        if fail is is_down:
            for it in seconds:
                fleet.replicas[it].crash(60)
        time.sleep(delay)
        CHANGES[change](fleet, firsts)
        lost = []
        for it in callers:
            answer = it.result()
            status = getattr(answer, "status", answer)
            body = getattr(answer, "body", b"")
            if status != 200 or body != expected_body(it.path):
                lost.append((name, it.path, status, body))
            runs = fleet.arrivals[it.path]
            is_repeatable = "/look/" in it.path or "/resume-stream/" in it.path
            if len(runs) > (2 if is_repeatable else 1):
                lost.append((name, it.path, "sent too often", runs))
            if status == 200 and answer.headers["Almondline-Server-Seal"] != f"seal-{runs[0]}":
                lost.append((name, it.path, "not the first server's answer", runs))
        # A change that comes later finds the second server with the request already.
        if (change == "nothing" or delay == CHANGE_DELAYS[-1]) and fail is not is_down:
            moved = {it.split("/")[1] for it in paths if len(fleet.arrivals[it]) == 2}
            self.assertEqual(moved, {"look", "resume-stream"}, "no second server was asked")
        for it in firsts + seconds:
            fleet.remove(it)
        return lost

    def check(self, cases):
        lost = []
        # The budget must not be what keeps a second server from being asked.
        with HedgedFleet(retries=1000) as fleet:
            for change, fail, delay in cases:
                name = f"{change} {fail.__name__} {delay}"
                lost += self.play(fleet, name, change, fail, delay)
        self.assertEqual(lost, [])

    def check_changes(self, changes):
        early, late = CHANGE_DELAYS
        self.check([(it, fail, delay) for it in changes
                    for fail, delay in [(closes, early), (hangs, late)]])

    def test_ready_answer_is_delivered_whatever_happens_at_the_second_server(self):
        self.check([("nothing", it, CHANGE_DELAYS[0]) for it in FAILURES])

    def test_ready_answer_is_delivered_when_servers_change_meanwhile(self):
        self.check_changes(it for it in CHANGES if "server " in it)

    def test_ready_answer_is_delivered_when_the_configuration_changes_meanwhile(self):
        self.check_changes(it for it in CHANGES if it != "nothing" and "server " not in it)


if __name__ == "__main__":
    unittest.main()
