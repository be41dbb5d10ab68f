"""Tests that a gateway which stops as planned gives each whole request a whole and true answer.

Requests that arrived late in the grace were begun or queued although they could not be finished,
and were cut without an answer when the process ended, also those that may run only once.
"""

import asyncio
import json
import signal
import sys
import threading
import time
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from caller_connections_test import Caller  # noqa: E402
from gateway_fleet import GatewayFleet, desired_state, route  # noqa: E402
from support.caller_connection import connection_faults  # noqa: E402

STOP_LIMIT = 4.0       # seconds from SIGTERM until the platform kills the process
SLOW = 7.0             # seconds that a replica takes in the tests; longer than the limit
DEADLINE_MS = 15000
NOT_RUN = {408, 421, 429, 503}


def make_state(version, connections=96):
    routes = [route("/order/", "desk", timeout_ms=DEADLINE_MS),
              route("/look/", "desk", "idempotent", max_attempts=2, timeout_ms=DEADLINE_MS),
              route("/stream/", "pool", "stream", timeout_ms=DEADLINE_MS)]
    state = desired_state(version, routes)
    state["services"][0]["max_connections"] = connections
    return json.dumps(state)


class PlannedStopTest(unittest.TestCase):
    def setUp(self):
        self.fleet = GatewayFleet(2, stop_limit=f"{STOP_LIMIT}s").__enter__()
        self.addCleanup(self.fleet.__exit__)
        self.is_over = threading.Event()
        self.addCleanup(self.is_over.set)
        self.delay = 0.0  # of each answer, or of each event after the first
        for it in self.fleet.replicas.values():
            it.behaviour = self.pause
            it.before_event = self.pause_between_events
        self.stopped = self.fleet.gateways[0]
        self.signalled_at = None
        self.callers = []

    def pause(self, handler):
        if "stream" not in handler.path:
            self.is_over.wait(self.delay)
        return False

    def pause_between_events(self):
        self.is_over.wait(self.delay / 3)

    def publish(self, **fields):
        self.fleet.store.put("op/config", make_state(2, **fields))
        time.sleep(1)

    def run_calls(self, *calls):
        async def run_all():
            await asyncio.gather(*calls)
            for it in self.callers:
                await it.close()

        asyncio.run(run_all())

    async def stop(self, at=0.5):
        await asyncio.sleep(at)
        self.signalled_at = time.monotonic()
        self.stopped.process.signal(signal.SIGTERM)

    async def call(self, path, after_stop, **fields):
        """Sends one request some seconds after the signal and waits for its end."""
        caller = Caller(self.fleet)
        self.callers.append(caller)
        connection = await caller.connect()
        while self.signalled_at is None:
            await asyncio.sleep(0.01)
        await asyncio.sleep(max(0.0, self.signalled_at + after_stop - time.monotonic()))
        method = "GET" if "look" in path else "POST"
        await connection.send(caller.request(path, method, deadline_ms=DEADLINE_MS,
                                             statuses=(200, 502, 503), **fields))
        await connection.wait_for_answers(seconds=STOP_LIMIT + 1)

    def runs_of(self, request_id):
        return sum(fields.get("Almondline-Attempt-Id") == request_id
                   for it in self.fleet.replicas.values() for _, _, fields in list(it.requests))

    def check(self, may_cut_streams=False):
        """Returns the status that each caller got, 0 for a stream that was cut."""
        self.assertEqual(self.stopped.process.wait(STOP_LIMIT + 1), 0)
        self.assertLess(time.monotonic() - self.signalled_at, STOP_LIMIT + 0.5)
        statuses = []
        faults = []
        for caller in self.callers:
            record = caller.records()[0]
            request = record.sent[0].request
            runs = self.runs_of(request.id)
            is_cut_stream = b"text/event-stream" in record.rest and not record.answers
            if may_cut_streams and is_cut_stream:
                self.assertFalse(record.rest.endswith(b"0\r\n\r\n"))
                statuses.append(0)
                continue
            faults += connection_faults(record)
            if not record.answers:
                statuses.append(-1)
                continue
            answer = record.answers[0]
            statuses.append(answer.status)
            if answer.status in NOT_RUN and runs:
                faults.append(f"{request.id}: {answer.status} although it reached a replica")
            if answer.status in NOT_RUN and "retry-after" not in answer.headers:
                faults.append(f"{request.id}: {answer.status} without Retry-After")
            if request.method == "POST" and runs > 1:
                faults.append(f"{request.id}: {runs} runs")
            if not answer.is_closing():
                faults.append(f"{request.id}: the answer does not announce the end")
        self.assertEqual(faults, [])
        return statuses

    def test_requests_that_can_not_be_finished_are_refused_as_not_run(self):
        # Nine of twelve ended without a byte of response.
        self.publish(connections=2)
        self.delay = SLOW
        self.run_calls(self.stop(), *(
            self.call(path, after) for after in [0.1, 0.5, 1.0]
            for path in ["/order/1", "/order/2", "/look/1", "/stream/1"]))
        self.assertEqual(set(self.check()), {503})

    def test_requests_that_wait_when_the_stop_begins_are_refused_as_not_run(self):
        self.publish(connections=2)
        self.delay = SLOW

        async def fill():
            caller = Caller(self.fleet)
            self.callers.append(caller)
            connection = await caller.connect()
            await connection.send(caller.request("/order/1", deadline_ms=DEADLINE_MS,
                                                 statuses=(502, 503)))
            await connection.wait_for_answers(seconds=STOP_LIMIT + 2)

        self.run_calls(self.stop(1.0), *(fill() for _ in range(24)))
        statuses = self.check()
        self.assertGreaterEqual(statuses.count(503), 4)
        self.assertGreaterEqual(statuses.count(502), 4)
        waiting = [it.records()[0] for it, status in zip(self.callers, statuses) if status == 503]
        for it in waiting:
            self.assertLess(it.answers[0].finished_at - self.signalled_at, 0.5)

    def test_requests_that_turn_out_slow_are_answered_before_the_process_ends(self):
        # They were taken because requests of their routes had been answered quickly until then.
        self.publish()
        for n in range(4):
            for path in ["/order/1", "/look/1", "/stream/1"]:
                self.assertEqual(self.fleet.request(path).status, 200)
        self.delay = SLOW
        self.run_calls(self.stop(), *(
            self.call(path, after) for after in [0.1, 0.5, 1.0]
            for path in ["/order/1", "/look/1", "/stream/1"]))
        statuses = self.check(may_cut_streams=True)
        self.assertEqual(set(statuses[0::3] + statuses[1::3]), {502})
        self.assertEqual(set(statuses[2::3]), {0})

    def test_quick_requests_are_served_while_callers_know_the_address(self):
        self.publish()
        for path in ["/order/1", "/look/1", "/stream/1"]:
            self.assertEqual(self.fleet.request(path).status, 200)
        self.run_calls(self.stop(), *(
            self.call(path, after) for after in [0.1, 0.5, 1.0]
            for path in ["/order/1", "/look/1", "/stream/1"]))
        self.assertEqual(set(self.check()), {200})

    def test_body_that_is_not_complete_at_the_end_is_refused(self):
        self.publish()

        async def send_part():
            caller = Caller(self.fleet)
            self.callers.append(caller)
            connection = await caller.connect()
            request = caller.request(body=b"b" * 8000, statuses=(503,))
            await connection.send_pieces([request], [request.data[:4000], request.data[4000:5000]],
                                         0.5)
            await connection.wait_for_answers(seconds=STOP_LIMIT + 1)

        self.run_calls(self.stop(), *(send_part() for _ in range(4)))
        self.assertEqual(set(self.check()), {503})

    def test_other_signals_do_not_shorten_the_stop(self):
        self.publish()
        self.delay = 1.5

        async def disturb():
            while self.signalled_at is None:
                await asyncio.sleep(0.01)
            for number in [signal.SIGTERM, signal.SIGHUP, signal.SIGINT] * 3:
                await asyncio.sleep(0.1)
                self.stopped.process.signal(number)

        async def send_before():
            caller = Caller(self.fleet)
            self.callers.append(caller)
            connection = await caller.connect()
            await connection.send(caller.request(deadline_ms=DEADLINE_MS))
            await connection.wait_for_answers()

        self.run_calls(self.stop(), disturb(), *(send_before() for _ in range(4)))
        self.assertEqual(set(self.check()), {200})


if __name__ == "__main__":
    unittest.main()
