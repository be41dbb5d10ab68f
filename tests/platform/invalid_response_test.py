"""Tests of replicas that send invalid responses: a status outside 100 to 599, a space or control
character in the name of a header field, or a transfer coding that is not forwarded. Callers got them
as valid ones, with that line passed on, or with a body that was not the replica's."""

import sys
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from broken_responses import (  # noqa: E402
    EVENTS, UPLOAD, BrokenResponseTest, break_off, response_head)

STATUSES = [b"000", b"001", b"099", b"600", b"999"]
CODINGS = [b"gzip", b"gzip, chunked", b"xchunked"]
INVALID_NAME_CHARACTERS = [b" ", b"\t", b"\x00", b"\x01", b"\x0b", b"\x1f", b"\x7f"]
BODY = b"ran, but this is no response"


def frame(body):
    return b"Content-Length: %d\r\n\r\n%s" % (len(body), body)


def send(handler, data, closes):
    handler.wfile.write(data)
    handler.wfile.flush()
    return handler.abort() if closes else True


def with_status(status, body, closes, hides_response):
    """Returns a function that sends a response with an invalid status. With hides_response, its body
    is a valid response to the request."""
    def answer(handler):
        is_stream = body.startswith(b"id:")
        inner = response_head(handler, is_stream) + frame(body) if hides_response else body
        return send(handler, response_head(handler, is_stream, status) + frame(inner), closes)
    return answer


def with_field(name, value, body, framing=b""):
    """Returns a function that sends a response with an invalid field in its header."""
    def answer(handler):
        fields = response_head(handler, body.startswith(b"id:"))
        return send(handler, fields + name + b": " + value + b"\r\n" + framing + b"\r\n" + body,
                    closes=True)
    return answer


def invalid_names(name):
    for it in INVALID_NAME_CHARACTERS:
        for at in [0, 1, len(name)]:
            yield name[:at] + it + name[at:]


def invalid_responses(is_stream):
    """Yields a name and a function for each invalid response."""
    body = b"".join(EVENTS) if is_stream else BODY
    for status in STATUSES:
        for closes in [False, True]:
            for hides_response in [False, True]:
                yield (f"status {status}, closes {closes}, hides a response {hides_response}",
                       with_status(status, body, closes, hides_response))
    length = b"Content-Length: %d\r\n" % len(body)
    chunked = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
    for name in invalid_names(b"X-Field"):
        yield f"name {name}", with_field(name, b"1", body, length)
    for name in invalid_names(b"Content-Length"):
        yield f"name {name}", with_field(name, b"%d" % len(body), body + b"more")
    for name in invalid_names(b"Transfer-Encoding"):
        yield f"name {name}", with_field(name, b"chunked", chunked)
    for coding in CODINGS:
        yield f"coding {coding}", with_field(b"Transfer-Encoding", coding, chunked)


class InvalidResponseTest(BrokenResponseTest):
    def test_request_that_may_run_once_fails(self):
        for name, invalid in invalid_responses(False):
            with self.subTest(name):
                self.answer_in_turn(invalid)
                self.check_failure(*self.call("/order/1"))
                self.assertEqual(len(self.arrivals), 1)

    def test_request_that_may_be_repeated_is_answered_by_another_replica(self):
        for name, invalid in invalid_responses(False):
            with self.subTest(name):
                self.answer_in_turn(invalid)
                self.assertEqual(self.call("/look/1"), (200, b"ran hello", True))
                self.assertEqual(len(self.arrivals), 2)

    def test_request_that_may_be_repeated_fails_after_its_last_attempt(self):
        for name, invalid in invalid_responses(False):
            with self.subTest(name):
                self.answer_in_turn(invalid, invalid)
                self.check_failure(*self.call("/look/1"))
                self.assertEqual(len(self.arrivals), 2)

    def test_stream_that_may_run_once_fails(self):
        for name, invalid in invalid_responses(True):
            with self.subTest(name):
                self.answer_in_turn(invalid)
                self.check_failure(*self.call("/stream/1"))
                self.assertEqual(len(self.arrivals), 1)

    def test_stream_that_may_be_resumed_is_completed_by_another_replica(self):
        for name, invalid in invalid_responses(True):
            with self.subTest(name):
                self.answer_in_turn(break_off, invalid)
                self.assertEqual(self.call("/three/stream/1"), (200, b"".join(EVENTS), True))
                self.assertEqual(len(self.arrivals), 3)

    def test_resumed_stream_is_not_complete_after_its_last_attempt(self):
        for name, invalid in invalid_responses(True):
            with self.subTest(name):
                self.answer_in_turn(break_off, invalid)
                self.check_cut_stream(*self.call("/resume-stream/1"))
                self.assertEqual(len(self.arrivals), 2)

    def test_invalid_response_on_a_kept_connection(self):
        for name, invalid in invalid_responses(False):
            with self.subTest(name):
                self.answer_in_turn(invalid, on_kept_connection=True)
                answer = self.call_until_arrival("/order/1", b"hello", (200, b"ran hello", True))
                self.check_failure(*answer)

    def test_invalid_response_during_a_long_upload(self):
        for name, invalid in invalid_responses(False):
            with self.subTest(name):
                self.answer_in_turn(invalid, is_early=True)
                self.check_failure(*self.call("/order/1", UPLOAD))
                self.assertEqual(len(self.arrivals), 1)


if __name__ == "__main__":
    unittest.main()
