"""Tests that a request survives when the server that takes over from a silent one fails at once."""

import http.client
import sys
import time
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from gateway_fleet import GatewayFleet  # noqa: E402

SILENCE = 1.5  # seconds; longer than the gateway waits before it looks for another server
EVENTS = 3


class FailedReplacementTest(unittest.TestCase):
    def call_with_silent_server(self, path, fail, method="POST", sent_before=1):
        """Lets the first server that is asked fall silent, and then go on. `fail` answers the
        later requests, and prepares the replicas that were not asked first."""
        with GatewayFleet(1) as fleet:
            asked = []

            def behave(handler):
                asked.append(handler.replica.id)
                if len(asked) > 1:
                    return fail.answer(handler)
                others = [it for name, it in fleet.replicas.items()
                          if name != handler.replica.id and name[:4] == handler.replica.id[:4]]
                fail.prepare(others)
                if "stream" not in path:
                    time.sleep(SILENCE)
                    return False
                handler.start_stream()
                for n in range(1, EVENTS + 1):
                    if n == sent_before + 1:
                        time.sleep(SILENCE)
                    handler.write_chunk(b"id: %d\ndata: piece %d\n\n" % (n, n))
                handler.wfile.write(b"0\r\n\r\n")
                return True

            for it in fleet.replicas.values():
                it.behaviour = behave
            try:
                answer = fleet.request(path, method, None if method == "GET" else b"hello",
                                       deadline_ms=5000, timeout=8)
            except (OSError, http.client.HTTPException) as error:
                answer = error
            return answer

    def check_stream(self, answer):
        self.assertEqual(getattr(answer, "status", answer), 200)
        self.assertEqual(answer.body.count(b"\n\n"), EVENTS)

    class Refuses:
        """The other server is full: it promises that it did not run the request."""

        def prepare(self, others):
            pass

        def answer(self, handler):
            handler.answer(503, headers=[("Almondline-Not-Executed", "1")])
            return True

    class IsUnreachable:
        """Nothing listens at the other server's address, which is still in the list."""

        def prepare(self, others):
            for it in others:
                it.crash(30)

        def answer(self, handler):
            return handler.abort()

    def test_stream_goes_on_when_the_other_server_is_full(self):
        self.check_stream(self.call_with_silent_server("/resume-stream/1", self.Refuses()))

    def test_stream_goes_on_when_the_other_server_is_unreachable(self):
        self.check_stream(self.call_with_silent_server("/resume-stream/1", self.IsUnreachable()))

    def test_request_is_answered_when_the_other_server_is_full(self):
        answer = self.call_with_silent_server("/look/1", self.Refuses(), "GET")
        self.assertEqual(getattr(answer, "status", answer), 200)

    def test_request_is_answered_when_the_other_server_is_unreachable(self):
        answer = self.call_with_silent_server("/look/1", self.IsUnreachable(), "GET")
        self.assertEqual(getattr(answer, "status", answer), 200)


if __name__ == "__main__":
    unittest.main()
