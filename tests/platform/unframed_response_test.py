"""Tests of responses with neither a length nor chunks, which end with their connection."""

import http.client
import sys
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from gateway_fleet import FleetTest  # noqa: E402
from platform_standins.replica import reset  # noqa: E402

EVENTS = b"id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"
LAST_EVENT = b"id: 3\ndata: piece 3\n\n"


class UnframedResponseTest(FleetTest):
    def respond(self, body, is_stream, is_reset=False, only_once=False):
        """Lets all replicas answer with the body and close, or reset, the connection."""
        self.runs = []

        def answer(handler):
            if only_once and self.runs:
                return False
            self.runs.append(handler.headers["Almondline-Attempt-Id"])
            handler.send_response(200)
            if is_stream:
                handler.send_header("Content-Type", "text/event-stream")
            handler.send_header("Almondline-Attempt-Id", self.runs[-1])
            handler.send_header("Almondline-Server-Seal", "s")
            handler.end_headers()
            handler.wfile.write(body)
            handler.wfile.flush()
            handler.close_connection = True
            if is_reset:
                reset(handler.connection)
            return True

        for it in self.fleet.replicas.values():
            it.behaviour = answer

    def call(self, path):
        try:
            return self.fleet.request(path)
        except (http.client.HTTPException, ConnectionError):
            return None

    def test_complete_stream_is_passed_on(self):
        self.respond(EVENTS + LAST_EVENT, is_stream=True)
        for path in ["/stream/1", "/resume-stream/1"]:
            answer = self.call(path)
            self.assertEqual((answer.status, answer.body), (200, EVENTS + LAST_EVENT))
        self.assertEqual(len(self.runs), 2)

    def test_complete_plain_body_is_passed_on(self):
        self.respond(b"whole", is_stream=False)
        answer = self.call("/order/1")
        self.assertEqual((answer.status, answer.body), (200, b"whole"))

    def test_stream_that_ends_inside_an_event_is_not_complete(self):
        self.respond(EVENTS + LAST_EVENT[:9], is_stream=True)
        self.assertIsNone(self.call("/stream/1"))

    def test_stream_that_ends_inside_an_event_continues_at_another_replica(self):
        self.respond(EVENTS + LAST_EVENT[:9], is_stream=True, only_once=True)
        answer = self.call("/resume-stream/1")
        self.assertEqual((answer.status, answer.body), (200, EVENTS + LAST_EVENT))

    def test_stream_without_an_event_is_not_a_success(self):
        # A replica that crashes before its first event closes the connection just so.
        self.respond(b"", is_stream=True)
        answer = self.call("/stream/1")
        self.assertIsNotNone(answer)
        self.assertEqual(answer.status, 502)

    def test_stream_without_an_event_runs_at_another_replica(self):
        self.respond(b"", is_stream=True, only_once=True)
        answer = self.call("/resume-stream/1")
        self.assertEqual((answer.status, answer.body), (200, EVENTS + LAST_EVENT))

    def test_stream_that_is_reset_is_not_complete(self):
        self.respond(EVENTS, is_stream=True, is_reset=True)
        self.assertIsNone(self.call("/stream/1"))

    def test_plain_body_that_is_reset_is_not_complete(self):
        self.respond(b"part", is_stream=False, is_reset=True)
        answer = self.call("/order/1")
        self.assertEqual(answer.status, 502)


if __name__ == "__main__":
    unittest.main()
