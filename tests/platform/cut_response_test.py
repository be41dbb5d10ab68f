"""Tests of replicas that end their connection in the middle of a response: in its head, its body, a
chunk's size or the trailers. Callers of other systems got a 200 with an empty or short body, framed
as whole."""

import sys
import time
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from broken_responses import EVENTS, PLAIN_BODY, BrokenResponseTest  # noqa: E402
from platform_standins.replica import reset  # noqa: E402

RESET_DELAY = 0.03  # a reset discards what the gateway has not read
HEAD_STEP = 9       # bytes between two places at which a head is cut


def chunked(parts):
    return b"".join(b"%x\r\n%s\r\n" % (len(it), it) for it in parts) + b"0\r\nX-Trailer: 1\r\n\r\n"


def message(framing, is_stream, status=200):
    """Returns the head and the rest of a whole response. %s stands for the attempt's id."""
    parts = EVENTS if is_stream else [PLAIN_BODY[:3], PLAIN_BODY[3:]]
    head = (b"HTTP/1.1 %d OK\r\nAlmondline-Attempt-Id: %%s\r\nAlmondline-Server-Seal: s\r\n"
            b"Content-Type: %s\r\n" % (status, b"text/event-stream" if is_stream
                                       else b"text/plain"))
    body = b"".join(parts)
    if framing == "length":
        return head + b"Content-Length: %d\r\n\r\n" % len(body), body
    if framing == "chunked":
        return head + b"Transfer-Encoding: chunked\r\n\r\n", chunked(parts)
    return head + b"Connection: close\r\n\r\n", body


def places(framing, head, rest):
    """Returns the numbers of bytes after which a response is cut: some in its head, 3 bytes into
    the status line and one byte before its end among them, and all after the head. An orderly
    close after the head of an unframed response is its regular end."""
    in_head = sorted({3, 8, 15, len(head) - 1, len(head) - 2, *range(1, len(head), HEAD_STEP)})
    if framing == "unframed":
        return in_head
    return in_head + list(range(len(head), len(head) + len(rest)))


class CutResponseTest(BrokenResponseTest):
    def cut(self, head, rest, size, is_reset=False):
        """Returns a function that sends so many bytes of a response and ends the connection."""
        def answer(handler):
            attempt = handler.headers["Almondline-Attempt-Id"].encode()
            placed = (head % attempt + rest)[:size + (len(attempt) - 2 if size > 40 else 0)]
            handler.wfile.write(placed)
            handler.wfile.flush()
            if not is_reset:
                return handler.abort()
            time.sleep(RESET_DELAY)
            handler.close_connection = True
            reset(handler.connection)
            return True
        return answer

    def cases(self, is_stream, is_reset=False, framings=("length", "chunked", "unframed")):
        for framing in framings:
            head, rest = message(framing, is_stream)
            all_places = places(framing, head, rest)
            if is_reset:
                all_places = all_places[::5] + all_places[-2:]
                if framing == "unframed":
                    all_places += [len(head), len(head) + len(rest)]
            for size in all_places:
                yield f"{framing} {size}", self.cut(head, rest, size, is_reset)

    def test_request_that_may_run_once_fails(self):
        for is_reset in [False, True]:
            for name, cut in self.cases(False, is_reset):
                with self.subTest(name, is_reset=is_reset):
                    self.answer_in_turn(cut)
                    self.check_failure(*self.call("/order/1"))
                    self.assertEqual(len(self.arrivals), 1)

    def test_request_that_may_be_repeated_is_answered_by_another_replica(self):
        for is_reset in [False, True]:
            for name, cut in self.cases(False, is_reset):
                with self.subTest(name, is_reset=is_reset):
                    self.answer_in_turn(cut)
                    self.assertEqual(self.call("/look/1"), (200, PLAIN_BODY, True))
                    self.assertEqual(len(self.arrivals), 2)

    def test_request_that_may_be_repeated_fails_after_its_last_attempt(self):
        for name, cut in self.cases(False):
            with self.subTest(name):
                self.answer_in_turn(cut, cut)
                self.check_failure(*self.call("/look/1"))
                self.assertEqual(len(self.arrivals), 2)

    def test_stream_is_not_complete(self):
        for is_reset in [False, True]:
            for name, cut in self.cases(True, is_reset):
                with self.subTest(name, is_reset=is_reset):
                    self.answer_in_turn(cut)
                    self.check_cut_stream(*self.call("/stream/1"))
                    self.assertEqual(len(self.arrivals), 1)

    def test_stream_that_may_be_resumed_is_completed_by_another_replica(self):
        for is_reset in [False, True]:
            for name, cut in self.cases(True, is_reset):
                with self.subTest(name, is_reset=is_reset):
                    self.answer_in_turn(cut)
                    self.assertEqual(self.call("/resume-stream/1"), (200, b"".join(EVENTS), True))
                    self.assertEqual(len(self.arrivals), 2)

    def test_cut_response_to_a_resumed_stream_passes_on_no_byte_of_it(self):
        def break_off(handler):
            handler.start_stream()
            handler.write_chunk(EVENTS[0])
            return handler.abort()

        for name, cut in self.cases(True):
            with self.subTest(name):
                self.answer_in_turn(break_off, cut)
                status, seen, is_whole = self.call("/resume-stream/1")
                self.assertEqual((status, is_whole), (200, False))
                self.assertTrue(b"".join(EVENTS).startswith(seen) and seen.endswith(b"\n\n"), seen)
                self.answer_in_turn(break_off, cut)
                self.assertEqual(self.call("/three/stream/1"), (200, b"".join(EVENTS), True))

    def test_cut_response_behind_an_earlier_answer_on_its_connection(self):
        for path, is_stream in [("/order/1", False), ("/look/1", False), ("/stream/1", True)]:
            for name, cut in self.cases(is_stream, framings=("length", "chunked")):
                with self.subTest(name, path=path):
                    self.answer_in_turn(cut, on_kept_connection=True)
                    for _ in range(8):
                        status, seen, is_whole = self.call(path)
                        if status != 200 or not is_whole or len(self.arrivals) == 1:
                            break
                    self.assertGreater(len(self.arrivals), 0)
                    if path == "/look/1":
                        self.assertEqual((status, seen, is_whole), (200, PLAIN_BODY, True))
                    else:
                        self.check_cut_stream(status, seen, is_whole)

    def test_part_of_another_response_behind_a_whole_one_belongs_to_no_request(self):
        head, rest = message("length", False)
        for size in places("length", head, rest):
            def answer(handler, size=size):
                handler.answer(200, PLAIN_BODY, [("Almondline-Server-Seal", "s")])
                return self.cut(head, b"not " + rest, size)(handler)

            with self.subTest(size):
                self.answer_in_turn(answer)
                for _ in range(2):
                    self.assertEqual(self.call("/order/1"), (200, PLAIN_BODY, True))

    def test_cut_refusal_is_no_promise(self):
        head, rest = message("length", False, 503)
        head = head.replace(b"Content-Type", b"Almondline-Not-Executed: 1\r\nContent-Type")
        for size in places("length", head, rest):
            with self.subTest(size):
                self.answer_in_turn(self.cut(head, rest, size))
                status, seen, is_whole = self.call("/order/1")
                self.assertEqual(len(self.arrivals), 1)
                if size < len(head):
                    self.check_failure(status, seen, is_whole)
                else:
                    # The whole head says that the replica did not run the request.
                    self.assertEqual((status, is_whole), (503, True))


if __name__ == "__main__":
    unittest.main()
