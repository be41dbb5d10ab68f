"""A fleet in which the first server that gets a request falls silent, and a second one that is
announced then behaves as a test says."""

import http.client
import json
import re
import threading
import time

from gateway_fleet import GatewayFleet, desired_state
from support.waiting import wait_until

SILENCE = 1.2      # seconds; longer than the gateway waits before it looks for another server
EVENTS = 3
DEADLINE_MS = 5000
TIMEOUT = 8        # seconds that a caller waits
# Seconds from the requests to the change that arrives meanwhile: before a second server is asked,
# and while it has the request.
CHANGE_DELAYS = [0.15, 0.7]


def state(version, **fields):
    out = desired_state(version=version, **fields)
    for it in out["routes"]:
        it["timeout_ms"] = 6000
    return out


class Caller(threading.Thread):
    """One request, and the answer or the error that ended it."""

    def __init__(self, fleet, path, **fields):
        super().__init__()
        self.fleet = fleet
        self.path = path
        self.fields = {"method": "GET" if "/look/" in path else "POST",
                       "deadline_ms": DEADLINE_MS, "timeout": TIMEOUT} | fields
        self.fields.setdefault("body", None if "/look/" in path else b"hello")
        self.answer = None
        self.start()

    def run(self):
        try:
            self.answer = self.fleet.request(self.path, **self.fields)
        except (OSError, http.client.HTTPException) as error:
            self.answer = error

    def result(self):
        self.join()
        return self.answer


class HedgedFleet(GatewayFleet):
    """One gateway before servers that a test adds."""

    version = 1

    def __init__(self, **fields):
        super().__init__(1, prepare=lambda fleet: fleet.publish(), **fields)
        self.added = 0
        self.lock = threading.Lock()
        self.arrivals = {}   # by path: ids of the servers that got it, in order
        self.silences = {}   # by path: events sent before the silence
        self.fail = lambda handler: False
        for name in list(self.replicas):
            self.remove(name)

    def remove(self, name):
        self.store.remove(f"servers/{name}")

    def add_server(self, service):
        """Announces another server and returns its name."""
        self.added += 1
        name = f"{service}-{self.added + 1}"
        self.add_replica(name, service)
        self.replicas[name].behaviour = self.behave
        return name

    def add_known_server(self, service):
        """Announces another server, waits until the gateway knows it and returns its name."""
        name = self.add_server(service)
        known = re.compile(rf"event=replica-changed .*{name}\b")
        if not wait_until(lambda: known.search(self.log()), 5):
            raise RuntimeError(f"the gateway does not know {name}")
        return name

    def publish(self, change=lambda state: None):
        self.version += 1
        content = state(self.version)
        change(content)
        self.store.put("op/config", json.dumps(content))

    def wait_for_version(self):
        applied = f"event=manifest-applied version={self.version}"
        if not wait_until(lambda: applied in self.log(), 5):
            raise RuntimeError(f"version {self.version} is not in force")

    def behave(self, handler):
        """Sends the first arrival of a path into a silence, and lets later ones fail."""
        with self.lock:
            asked = self.arrivals.setdefault(handler.path, [])
            asked.append(handler.replica.id)
            n = len(asked)
        if n > 1:
            return self.fail(handler)
        return self.fall_silent(handler, self.silences.get(handler.path, 0))

    def fall_silent(self, handler, sent_before, silence=SILENCE):
        if "stream" not in handler.path:
            if not sent_before:
                time.sleep(silence)
                return False
            body = b"ran hello" if handler.command == "POST" else b"ran "
            handler.send_response(200)
            handler.send_header("Almondline-Attempt-Id", handler.headers["Almondline-Attempt-Id"])
            handler.send_header("Almondline-Server-Seal", f"seal-{handler.replica.id}")
            handler.send_header("Content-Length", str(len(body)))
            handler.end_headers()
            handler.wfile.write(body[:2])
            time.sleep(silence)
            handler.wfile.write(body[2:])
            return True
        if not sent_before:
            time.sleep(silence)
        handler.start_stream()
        for n in range(1, EVENTS + 1):
            if sent_before and n == sent_before + 1:
                time.sleep(silence)
            send_event(handler, n)
        handler.wfile.write(b"0\r\n\r\n")
        return True

    def wait_for_arrivals(self, paths, count=1):
        deadline = time.monotonic() + 5
        while any(len(self.arrivals.get(it, [])) < count for it in paths):
            if time.monotonic() > deadline:
                raise RuntimeError(f"not all requests arrived: {self.arrivals}")
            time.sleep(0.005)

    def log(self):
        return self.gateways[0].process.out_path.read_text()


def send_event(handler, n):
    handler.write_chunk(b"id: %d\ndata: piece %d\n\n" % (n, n))


def expected_body(path, method="POST"):
    if "stream" in path:
        return b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, EVENTS + 1))
    return b"ran " if "/look/" in path else b"ran hello"


# How the server that is asked beside the silent one fails. Each returns True if it answered.

def is_full(handler):
    handler.answer(503, headers=[("Almondline-Not-Executed", "1")])
    return True


def is_full_for_now(handler):
    handler.answer(503, headers=[("Almondline-Not-Executed", "1"), ("Retry-After", "2")])
    return True


def answers_500(handler):
    handler.answer(500, b"broken", [("Almondline-Server-Seal", "seal")])
    return True


def closes(handler):
    return handler.abort()


def hangs(handler):
    return handler.wait_for_disconnect(TIMEOUT)


def breaks_off(handler):
    """Ends in the middle of a response, without a complete event beyond those already sent."""
    if "stream" in handler.path:
        handler.start_stream()
        handler.write_chunk(b"id: %d\nda" % (int(handler.headers.get("Last-Event-Id", 0)) + 1))
        return handler.abort()
    handler.send_response(200)
    handler.send_header("Almondline-Attempt-Id", handler.headers["Almondline-Attempt-Id"])
    handler.send_header("Almondline-Server-Seal", "seal")
    handler.send_header("Content-Length", "100")
    handler.end_headers()
    handler.wfile.write(b"ra")
    return handler.abort()


def is_down(_handler):
    raise AssertionError("a server that is down got a request")


FAILURES = [is_full, is_full_for_now, answers_500, closes, hangs, breaks_off, is_down]
