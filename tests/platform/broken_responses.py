"""Base of tests of replicas that send broken responses: what they send, what callers get of it, and
what they may get."""

import http.client
import json
import time

from gateway_fleet import FleetTest, desired_state, route
from support.waiting import wait_until

PLAIN_BODY = b"ran hello"
EVENTS = [b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 4)]
UPLOAD = b"x" * 3_000_000  # more than the sockets' buffers hold


def response_head(handler, is_stream, status=b"200"):
    """Returns the status line and the first fields of a response to the handler's request."""
    content_type = b"text/event-stream" if is_stream else b"text/plain"
    return (b"HTTP/1.1 %s X\r\nAlmondline-Attempt-Id: %s\r\nAlmondline-Server-Seal: s\r\n"
            b"Content-Type: %s\r\n"
            % (status, handler.headers["Almondline-Attempt-Id"].encode(), content_type))


def break_off(handler):
    """Sends one event of a stream and closes the connection."""
    handler.start_stream()
    handler.write_chunk(EVENTS[0])
    return handler.abort()


class BrokenResponseTest(FleetTest):
    """Base of tests with three replicas of each service."""

    retries = 1_000_000

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.fleet.add_replica("pool-2", "pool")
        cls.fleet.add_replica("desk-2", "desk")
        routes = [route("/order/", "desk", max_attempts=3),
                  route("/look/", "desk", "idempotent", max_attempts=2),
                  route("/stream/", "pool", "stream", max_attempts=3),
                  route("/resume-stream/", "pool", "stream", resumable=True, max_attempts=2),
                  route("/three/stream/", "pool", "stream", resumable=True, max_attempts=3)]
        cls.fleet.store.put("op/config", json.dumps(desired_state(2, routes)))
        if not wait_until(lambda: cls.fleet.request("/three/stream/1").status == 200):
            cls.fleet.__exit__()
            raise RuntimeError("the routes of the test are not in force")
        time.sleep(1)  # the list of servers has the third ones

    def answer_in_turn(self, *answers, on_kept_connection=False, is_early=False):
        """Lets the arrivals of a request be answered by one function each, the later ones as
        usual. With on_kept_connection, the first request of each connection is answered as usual
        and not counted. With is_early, the functions are called before the body is read."""
        self.arrivals = []

        def behave(handler):
            if on_kept_connection and not getattr(handler, "is_kept", False):
                handler.is_kept = True
                return False
            n = len(self.arrivals)
            self.arrivals.append(handler)
            return answers[n](handler) if n < len(answers) else False

        for it in self.fleet.replicas.values():
            if is_early:
                it.early_behaviour = behave
            else:
                it.behaviour = behave

    def call(self, path, body=b"hello"):
        """Returns the status, the bytes that the caller gets, and whether they look complete."""
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.fleet.gateways[0].ports["front"], timeout=5)
        status, seen = 0, b""
        try:
            connection.request("POST", path, body, self.fleet.request_fields())
            raw = connection.getresponse()
            status = raw.status
            while piece := raw.read1(65536):
                seen += piece
            return status, seen, True
        except (http.client.HTTPException, ConnectionError):
            return status, seen, False
        finally:
            connection.close()

    def call_until_arrival(self, path, body, usual):
        """Repeats a request, each but the last with the usual answer, until one arrives on a kept
        connection. Returns its answer."""
        while True:
            answer = self.call(path, body)
            if self.arrivals:
                return answer
            self.assertEqual(answer, usual)

    def check_failure(self, status, seen, is_whole):
        """The caller gets a whole answer of the gateway, with no byte of the broken one."""
        self.assertEqual((status, is_whole), (502, True))
        # The gateway's message may name the field whose value is invalid.
        self.assertNotIn(b"ran", seen.replace(b"Transfer-Encoding", b""))
        self.assertNotIn(b"piece", seen)

    def check_cut_stream(self, status, seen, is_whole):
        """The caller gets 502, or some whole events and a visible break."""
        if status == 502:
            self.check_failure(status, seen, is_whole)
            return
        self.assertEqual((status, is_whole), (200, False))
        self.assertTrue(b"".join(EVENTS).startswith(seen), seen)
        self.assertTrue(seen == b"" or seen.endswith(b"\n\n"), seen)
