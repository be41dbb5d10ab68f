"""Tests of replicas that respond to a long upload before they have read it, without a length, and end
their connection. A reset that is reported to the write of the upload reaches the read as a plain end:
callers got a part of a body as a complete response."""

import socket
import sys
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from broken_responses import (  # noqa: E402
    EVENTS, UPLOAD, BrokenResponseTest, break_off, response_head)
from platform_standins.replica import reset  # noqa: E402

PART = b"ran, but not all of this was sent"
TRIES = 20  # the gateway may read the header before the reset arrives
CLOSE_TIMEOUT = 5  # seconds until a replica no longer waits for the end of a connection


def send_early(handler, body):
    """Sends a response with neither a length nor chunks before the request's body is read."""
    head = response_head(handler, body.startswith(b"id:"))
    handler.wfile.write(head + b"Connection: close\r\n\r\n" + body)
    handler.wfile.flush()
    handler.close_connection = True


def send_and_reset(body):
    """Returns a function that sends an early response and resets the connection."""
    def answer(handler):
        send_early(handler, body)
        reset(handler.connection)
        return True
    return answer


def send_and_close(body, then_reset=False):
    """Returns a function that sends a whole early response and closes the connection in order. With
    then_reset, it resets what the gateway still sends; else it reads that."""
    def answer(handler):
        send_early(handler, body)
        handler.connection.shutdown(socket.SHUT_WR)
        if then_reset:
            reset(handler.connection)
            return True
        handler.connection.settimeout(CLOSE_TIMEOUT)
        while handler.connection.recv(65536):
            pass
        return True
    return answer


class EarlyResponseTest(BrokenResponseTest):
    def upload(self, path, *answers, **options):
        """Sends a long request. Returns the status, the bytes and whether they look complete."""
        self.answer_in_turn(*answers, is_early=True, **options)
        return self.call(path, UPLOAD)

    def test_reset_plain_response_is_not_complete(self):
        for _ in range(TRIES):
            self.check_failure(*self.upload("/order/1", send_and_reset(PART)))
            self.assertEqual(len(self.arrivals), 1)

    def test_reset_plain_response_of_the_last_attempt_is_not_complete(self):
        for _ in range(TRIES):
            cut = send_and_reset(PART)
            self.check_failure(*self.upload("/look/1", cut, cut))
            self.assertEqual(len(self.arrivals), 2)

    def test_request_that_may_be_repeated_is_answered_by_another_replica(self):
        for _ in range(TRIES):
            answer = self.upload("/look/1", send_and_reset(PART))
            self.assertEqual(answer, (200, b"ran " + UPLOAD, True))
            self.assertEqual(len(self.arrivals), 2)

    def test_reset_stream_is_not_complete(self):
        for sent in [b"".join(EVENTS[:2]), b"".join(EVENTS), EVENTS[0][:-1]]:
            for _ in range(TRIES):
                self.check_cut_stream(*self.upload("/stream/1", send_and_reset(sent)))
                self.assertEqual(len(self.arrivals), 1)

    def test_stream_that_may_be_resumed_is_completed_by_another_replica(self):
        for _ in range(TRIES):
            answer = self.upload("/resume-stream/1", send_and_reset(b"".join(EVENTS[:2])))
            self.assertEqual(answer, (200, b"".join(EVENTS), True))
            self.assertEqual(len(self.arrivals), 2)

    def test_reset_response_to_a_resumed_stream_is_not_complete(self):
        for _ in range(TRIES):
            cut = send_and_reset(EVENTS[1])
            status, seen, is_whole = self.upload("/resume-stream/1", break_off, cut)
            self.check_cut_stream(status, seen, is_whole)
            answer = self.upload("/three/stream/1", break_off, cut)
            self.assertEqual(answer, (200, b"".join(EVENTS), True))

    def test_reset_response_on_a_kept_connection_is_not_complete(self):
        for _ in range(TRIES):
            self.answer_in_turn(send_and_reset(PART), on_kept_connection=True, is_early=True)
            answer = self.call_until_arrival("/order/1", UPLOAD, (200, b"ran " + UPLOAD, True))
            self.check_failure(*answer)

    def test_response_that_is_closed_in_order_is_complete(self):
        stream = b"".join(EVENTS)
        for then_reset in [False, True]:
            for path, body in [("/order/1", b"ran at once"), ("/stream/1", stream)]:
                for _ in range(TRIES):
                    answer = self.upload(path, send_and_close(body, then_reset))
                    self.assertEqual(answer, (200, body, True))
                    self.assertEqual(len(self.arrivals), 1)


if __name__ == "__main__":
    unittest.main()
