"""Tests of requests that two servers have, because the first one fell silent."""

import signal
import socket
import sys
import time
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from hedged_fleet import (EVENTS, SILENCE, Caller, HedgedFleet, closes,  # noqa: E402
                          expected_body, is_full, send_event)
from support.waiting import wait_until  # noqa: E402

LOOK = "/look/1"
RESUME = "/resume-stream/1"
MB = 1024 * 1024
MANY_EVENTS = 72  # of 100 KB: more than the buffers between a server and a slow caller hold


def service_of(path):
    return "desk" if "/look/" in path else "pool"


class HedgedRequestTest(unittest.TestCase):
    def start(self, fleet, path, sent_before=0):
        """Sends a request to the first server, announces a second one and returns the caller."""
        fleet.add_known_server(service_of(path))
        fleet.silences[path] = sent_before
        caller = Caller(fleet, path)
        fleet.wait_for_arrivals([path])
        fleet.add_server(service_of(path))
        return caller

    def check_whole(self, caller, server=None):
        """Checks the answer, and that it comes from the nth server that was asked."""
        answer = caller.result()
        self.assertEqual(getattr(answer, "status", answer), 200)
        self.assertEqual(answer.body, expected_body(caller.path))
        if server is not None:
            name = caller.fleet.arrivals[caller.path][server]
            self.assertEqual(answer.headers["Almondline-Server-Seal"], f"seal-{name}")

    def test_second_server_is_silent_as_well(self):
        for path in [LOOK, RESUME]:
            with self.subTest(path), HedgedFleet() as fleet:
                fleet.fail = lambda handler, f=fleet: f.fall_silent(handler, 0, 2 * SILENCE)
                self.check_whole(self.start(fleet, path), 0)
                self.assertEqual(len(fleet.arrivals[path]), 2)

    def test_first_server_closes_while_the_second_one_has_the_request(self):
        for path, sent_before in [(LOOK, 0), (RESUME, 0), (RESUME, 1)]:
            with self.subTest(path, sent_before=sent_before), HedgedFleet() as fleet:
                def answer_late(handler):
                    time.sleep(0.3)
                    for it in list(fleet.replicas[fleet.arrivals[path][0]].connections):
                        it.shutdown(socket.SHUT_RDWR)
                    time.sleep(0.3)
                    return False

                fleet.fail = answer_late
                self.check_whole(self.start(fleet, path, sent_before),
                                 0 if sent_before else 1)
                self.assertEqual(len(fleet.arrivals[path]), 2)

    def test_both_fail_and_one_more_server_is_asked(self):
        # max_attempts of 3: the failure of both is followed by one attempt, not by one for each.
        with HedgedFleet() as fleet:
            fleet.publish(lambda it: [route.update(max_attempts=3) for route in it["routes"]])
            fleet.wait_for_version()
            asked = []

            def fail_both(handler):
                asked.append(handler.replica.id)
                if len(asked) > 1:
                    return False
                fleet.add_known_server("desk")
                for it in list(fleet.replicas[fleet.arrivals[LOOK][0]].connections):
                    it.shutdown(socket.SHUT_RDWR)
                return handler.abort()

            fleet.fall_silent = lambda handler, *_: handler.wait_for_disconnect(5)
            fleet.fail = fail_both
            self.check_whole(self.start(fleet, LOOK))
            self.assertEqual(len(set(fleet.arrivals[LOOK])), 3)
            self.assertEqual(len(fleet.arrivals[LOOK]), 3)

    def test_each_server_is_asked_only_once(self):
        # A server that refused was asked again while the first one was silent.
        with HedgedFleet() as fleet:
            fleet.publish(lambda it: [route.update(max_attempts=9) for route in it["routes"]])
            fleet.wait_for_version()
            fleet.fail = is_full
            self.check_whole(self.start(fleet, LOOK))
            self.assertEqual(len(fleet.arrivals[LOOK]), 2)

    def test_answers_at_the_same_moment_give_one_answer(self):
        with HedgedFleet() as fleet:
            for path in [f"{kind}{n}" for kind in ["/look/", "/resume-stream/"] for n in range(5)]:
                moment = []

                def answer_together(_handler, *_details, moment=moment):
                    moment.append(time.monotonic() + 0.3)
                    while len(moment) < 2:
                        time.sleep(0.001)
                    time.sleep(max(0.0, moment[1] - time.monotonic()))
                    return False

                fleet.fall_silent = answer_together
                fleet.fail = answer_together
                with self.subTest(path):
                    self.check_whole(self.start(fleet, path))
                    for it in fleet.replicas:
                        fleet.remove(it)

    def test_events_of_two_servers_are_not_mixed(self):
        # The first server comes back after the second one has sent its first event.
        with HedgedFleet() as fleet:
            ended = []
            resumed_after = []

            def send_slowly(handler):
                resumed_after.append(handler.headers.get("Last-Event-Id"))
                handler.start_stream()
                for n in range(2, EVENTS + 1):
                    send_event(handler, n)
                    time.sleep(SILENCE)
                handler.wfile.write(b"0\r\n\r\n")
                return True

            def come_back_late(handler, *_):
                handler.start_stream()
                send_event(handler, 1)
                time.sleep(1.5 * SILENCE)
                try:
                    for n in range(2, EVENTS + 1):
                        send_event(handler, n)
                        time.sleep(0.2)
                    ended.append(False)
                except OSError:
                    ended.append(True)
                return handler.abort()

            fleet.fall_silent = come_back_late
            fleet.fail = send_slowly
            self.check_whole(self.start(fleet, RESUME, 1), 0)
            self.assertEqual(resumed_after, ["1"])
            self.assertTrue(wait_until(lambda: ended, 3))
            self.assertEqual(ended, [True], "the first server was not ended")
            self.assertIn("superseded=1", fleet.log())

    def test_slow_caller_is_no_silence_of_its_server(self):
        with HedgedFleet() as fleet:
            fleet.add_known_server("pool")
            fleet.add_known_server("pool")
            asked = []

            def send_much(handler):
                asked.append(handler.replica.id)
                handler.start_stream()
                for n in range(1, MANY_EVENTS + 1):
                    handler.write_chunk(b"id: %d\ndata: %s\n\n" % (n, b"x" * 100_000))
                handler.wfile.write(b"0\r\n\r\n")
                return True

            for it in fleet.replicas.values():
                it.behaviour = send_much
            gateway = fleet.gateways[0]
            with socket.socket() as caller:
                caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32 * 1024)
                caller.settimeout(5)
                caller.connect(("127.0.0.1", gateway.ports["front"]))
                fields = "".join(f"{name}: {value}\r\n" for name, value in
                                 fleet.request_fields(deadline_ms=8000).items())
                caller.sendall(f"POST {RESUME} HTTP/1.1\r\n{fields}Content-Length: 0\r\n"
                               "Connection: close\r\n\r\n".encode())
                time.sleep(2.5)
                received = b""
                while part := caller.recv(65536):
                    received += part
            self.assertEqual(received.count(b"\ndata: "), MANY_EVENTS)
            self.assertTrue(received.endswith(b"0\r\n\r\n"))
            hedges = [it for it in fleet.log().splitlines() if "event=hedge " in it]
            self.assertEqual((len(asked), hedges), (1, []))

    def test_caller_that_leaves_ends_both_servers(self):
        with HedgedFleet() as fleet:
            fleet.fall_silent = lambda handler, *_: handler.wait_for_disconnect(5)
            fleet.fail = lambda handler: handler.wait_for_disconnect(5)
            fleet.add_known_server("desk")
            caller = Caller(fleet, LOOK, timeout=1.5)
            fleet.wait_for_arrivals([LOOK])
            fleet.add_server("desk")
            fleet.wait_for_arrivals([LOOK], 2)
            caller.result()
            self.assertTrue(wait_until(
                lambda: sum(len(it.disconnects) for it in fleet.replicas.values()) == 2, 0.5))

    def test_stop_ends_both_servers_with_an_answer(self):
        with HedgedFleet(stop_limit="3s") as fleet:
            fleet.fall_silent = lambda handler, *_: handler.wait_for_disconnect(8)
            fleet.fail = lambda handler: handler.wait_for_disconnect(8)
            caller = self.start(fleet, LOOK)
            fleet.wait_for_arrivals([LOOK], 2)
            fleet.gateways[0].process.signal(signal.SIGTERM)
            answer = caller.result()
            self.assertEqual(getattr(answer, "status", answer), 502)
            self.assertTrue(wait_until(lambda: "status=502 code=stopping" in fleet.log(), 1))
            self.assertTrue(wait_until(
                lambda: sum(len(it.disconnects) for it in fleet.replicas.values()) == 2, 1))

    def test_second_server_is_a_repeat_of_the_retry_budget(self):
        with HedgedFleet(retries=3) as fleet:
            fleet.fail = closes
            self.check_whole(self.start(fleet, LOOK))
            others = [Caller(fleet, f"/look/{n}") for n in range(2, 8)]
            for it in others:
                self.assertEqual(it.result().status, 200)
            repeats = sum(len(it) for it in fleet.arrivals.values()) - 7
            self.assertGreaterEqual(repeats, 1, "no second server was asked")
            # Budget: three repeats, and a fifth of the requests.
            self.assertLessEqual(repeats, 3 + 7 // 5)

    def test_memory_of_a_second_response_costs_no_other_request_its_answer(self):
        # Both servers of the first request hold 5 MB when the response to a request that can't be
        # repeated arrives. The share of 110 MB is 13.75 MB.
        with HedgedFleet() as fleet:
            def send_most(handler, pause=2 * SILENCE):
                handler.send_response(200)
                handler.send_header("Almondline-Attempt-Id",
                                    handler.headers["Almondline-Attempt-Id"])
                handler.send_header("Almondline-Server-Seal", "seal")
                handler.send_header("Content-Length", str(6 * MB))
                handler.end_headers()
                handler.wfile.write(b"x" * (5 * MB))
                time.sleep(pause)
                handler.wfile.write(b"x" * MB)
                return True

            fleet.fall_silent = lambda handler, *_: send_most(
                handler, 0 if "/order/" in handler.path else 2 * SILENCE)
            fleet.fail = send_most
            caller = self.start(fleet, LOOK)
            fleet.wait_for_arrivals([LOOK], 2)
            time.sleep(0.3)
            other = Caller(fleet, "/order/1")
            for it in [other, caller]:
                answer = it.result()
                self.assertEqual(getattr(answer, "status", answer), 200, it.path)
                self.assertEqual(len(answer.body), 6 * MB)

    def test_log_names_the_server_that_answered_and_the_one_that_was_ended(self):
        with HedgedFleet() as fleet:
            fleet.fail = is_full
            self.check_whole(self.start(fleet, LOOK))
            first, second = fleet.arrivals[LOOK]
            self.assertTrue(wait_until(lambda: "event=answer" in fleet.log(), 2))
            lines = fleet.log().splitlines()
            hedge = [it for it in lines if "event=hedge " in it]
            ended = [it for it in lines if "event=attempt-ended" in it]
            answer = [it for it in lines if "event=answer" in it]
            self.assertIn(f"backend={second} silent={first}", hedge[0])
            self.assertIn(f"backend={second} end=refused-by-server", ended[0])
            self.assertIn(f"backend={first} end=completed", answer[0])


if __name__ == "__main__":
    unittest.main()
