"""Tests against replicas that send streams whose events or comments do not end."""

import http.client
import json
import sys
import threading
import time
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from gateway_fleet import GatewayFleet, desired_state, route  # noqa: E402

STREAMS = 120
MEMORY_LIMIT = 110 * 1024 * 1024  # memory_mb of the gateway's settings
UNFINISHED_BYTES = 900 * 1024     # below the limit of one event
SLOTS = 100                       # of each model server
ROUTE_TIMEOUT_MS = 6000
BEGIN_SECONDS = 3                 # until all streams have begun


def prepare(fleet):
    """Gives the model servers many slots, and the plain service a route with streams."""
    state = desired_state()
    state["services"][1]["engine"]["capacity"] = SLOTS
    state["routes"].append(route("/desk-stream/", "desk", "stream"))
    for it in state["routes"]:
        it["timeout_ms"] = ROUTE_TIMEOUT_MS
        it["target_latency_ms"] = ROUTE_TIMEOUT_MS // 2
    fleet.store.put("op/config", json.dumps(state))
    for name in ["pool-0", "pool-1"]:
        fleet.announce(name, capacity=SLOTS)


class StreamMemoryTest(unittest.TestCase):
    def setUp(self):
        self.fleet = GatewayFleet(prepare=prepare).__enter__()

    def tearDown(self):
        self.fleet.__exit__()

    def hold_streams(self, path, first, more, others=lambda: None):
        """Sends STREAMS concurrent requests to model servers that send `first`, then `more` until
        UNFINISHED_BYTES are sent, and no more. Returns the highest memory of the gateway."""
        begun = []
        all_begun = threading.Event()

        def send_unfinished(handler):
            begun.append(handler)
            if len(begun) == STREAMS:
                all_begun.set()
            try:
                handler.start_stream()
                all_begun.wait(BEGIN_SECONDS)
                handler.write_chunk(first)
                for _ in range(UNFINISHED_BYTES // len(more)):
                    handler.write_chunk(more)
            except OSError:
                handler.close_connection = True
                return True
            return handler.wait_for_disconnect(ROUTE_TIMEOUT_MS / 1000)

        for name in ["pool-0", "pool-1"]:
            self.fleet.replicas[name].behaviour = send_unfinished

        def call():
            try:
                self.fleet.request(path, deadline_ms=ROUTE_TIMEOUT_MS, timeout=30)
            except (OSError, http.client.HTTPException):
                pass  # the stream has to end without a complete answer

        callers = [threading.Thread(target=call) for _ in range(STREAMS)]
        for it in callers:
            it.start()
        peak = 0
        while any(it.is_alive() for it in callers):
            peak = max(peak, self.fleet.gateways[0].process.memory())
            others()
            time.sleep(0.02)
        self.assertTrue(self.fleet.gateways[0].process.is_running())
        self.assertTrue(all_begun.is_set(), f"only {len(begun)} streams began")
        return peak

    def test_unfinished_events_stay_within_the_memory(self):
        peak = self.hold_streams("/stream/1", b"id: 1\ndata: ", b"a" * 65536)
        self.assertLess(peak, MEMORY_LIMIT)

    def test_unfinished_events_of_resumable_streams_stay_within_the_memory(self):
        peak = self.hold_streams("/resume-stream/1", b"id: 1\ndata: ", b"a" * 65536)
        self.assertLess(peak, MEMORY_LIMIT)

    def test_comments_before_the_first_event_stay_within_the_memory(self):
        peak = self.hold_streams("/resume-stream/1", b":\n\n", b":" + b"a" * 65533 + b"\n\n")
        self.assertLess(peak, MEMORY_LIMIT)

    def test_other_requests_are_answered_beside_unfinished_events(self):
        statuses = []

        def order():
            statuses.append(self.fleet.request("/look/1").status)

        peak = self.hold_streams("/stream/1", b"id: 1\ndata: ", b"a" * 65536, order)
        self.assertLess(peak, MEMORY_LIMIT)
        self.assertGreater(len(statuses), 5)
        self.assertEqual(set(statuses), {200})

    def test_sound_streams_are_complete_beside_unfinished_events(self):
        answers = []

        def stream():
            response = self.fleet.request("/desk-stream/1")
            answers.append((response.status, response.body.count(b"data:")))

        peak = self.hold_streams("/stream/1", b"id: 1\ndata: ", b"a" * 65536, stream)
        self.assertLess(peak, MEMORY_LIMIT)
        self.assertGreater(len(answers), 5)
        self.assertEqual(set(answers), {(200, 3)})


if __name__ == "__main__":
    unittest.main()
