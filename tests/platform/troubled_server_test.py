"""Tests against replicas that send an endless response until the gateway closes the connection."""

import http.client
import sys
import threading
import time
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from gateway_fleet import FleetTest  # noqa: E402
from support.waiting import wait_until  # noqa: E402


class TroubledServerTest(FleetTest):
    CALLS = 50
    MEMORY_LIMIT = 88 * 1024 * 1024

    def flood(self, begin, more, path="/order/1"):
        """Sends CALLS concurrent requests to replicas that answer with `begin` and then endlessly
        with `more`. Returns the statuses that the callers got."""
        def send_endlessly(handler):
            try:
                handler.wfile.write(begin % handler.headers["Almondline-Attempt-Id"].encode())
                while True:
                    handler.wfile.write(more)
            except OSError:
                handler.close_connection = True
            return True

        for it in self.fleet.replicas.values():
            it.behaviour = send_endlessly
        statuses = []

        def call():
            try:
                statuses.append(self.fleet.request(path, deadline_ms=1200).status)
            except (OSError, http.client.HTTPException):
                statuses.append(0)

        callers = [threading.Thread(target=call) for _ in range(self.CALLS)]
        for it in callers:
            it.start()
        peak = 0
        while any(it.is_alive() for it in callers):
            peak = max(peak, self.fleet.gateways[0].process.memory())
            time.sleep(0.02)
        self.assertLess(peak, self.MEMORY_LIMIT)
        self.assertTrue(self.fleet.gateways[0].process.is_running())
        return statuses

    def check_service_continues(self):
        self.tearDown()
        self.assertTrue(wait_until(lambda: self.fleet.request("/order/1").status == 200, 10))

    HEAD = (b"HTTP/1.1 200 OK\r\nAlmondline-Attempt-Id: %s\r\nAlmondline-Server-Seal: s\r\n")

    def check_no_success(self, statuses):
        # 200 would announce a body that is not the replica's whole body; 503 would falsely report
        # a request that was sent as not run.
        self.assertEqual(len(statuses), self.CALLS)
        self.assertNotIn(200, statuses)
        self.check_service_continues()

    def test_header_lines_without_end(self):
        self.check_no_success(self.flood(self.HEAD, b"X-More: aaaaaaaaaaaaaaaaaaaaaaaa\r\n"))

    def test_header_line_without_end(self):
        self.check_no_success(self.flood(self.HEAD + b"X-More: ", b"a" * 4096))

    def test_interim_responses_without_end(self):
        self.check_no_success(self.flood(b"HTTP/1.1 100 Continue\r\nX: %s\r\n\r\n",
                                         b"HTTP/1.1 100 Continue\r\n\r\n"))

    def test_body_without_end(self):
        head = self.HEAD + b"Connection: close\r\n\r\n"
        self.check_no_success(self.flood(head, b"a" * 65536))

    def test_chunk_extension_without_end(self):
        head = self.HEAD + b"Transfer-Encoding: chunked\r\n\r\n5;"
        self.check_no_success(self.flood(head, b"a" * 4096))

    def test_trailers_without_end(self):
        head = self.HEAD + b"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n"
        self.check_no_success(self.flood(head, b"X-More: aaaaaaaaaaaaaaaaaaaaaaaa\r\n"))

    def test_body_of_another_response_without_end(self):
        head = (b"HTTP/1.1 200 OK\r\nAlmondline-Attempt-Id: not-%s\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n")
        self.check_no_success(self.flood(head, b"10000\r\n" + b"a" * 65536 + b"\r\n"))

    def test_event_without_end(self):
        head = (self.HEAD + b"Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
                b"id: 1\ndata: ")
        self.check_no_success(self.flood(head, b"a" * 4096, "/stream/1"))


if __name__ == "__main__":
    unittest.main()
