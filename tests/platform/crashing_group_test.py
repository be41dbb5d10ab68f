"""Tests that sound requests go on which wait at a replica when a prompt part crashes it.

Such a request is evidence like the one that crashed the replica, and may be reported first. Sound
requests were refused for minutes because a part that they share with it was quarantined in place of
the deadly one, or for as long as one of their streams lasts.
"""

import json
import signal
import sys
import threading
import time
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from gateway_fleet import GatewayFleet, desired_state, route  # noqa: E402
from server_rate_test import granting_gateway  # noqa: E402

GATEWAYS = 3
DEADLY = "dead:40"
CONTACT = 3.0         # seconds after the last crash in which the deadly part has to be found
DOWN = 1.5            # seconds until a crashed replica is back
GROUP = 12            # sound requests that come at once
FIRST_EVENT = 0.25    # seconds until a sound stream begins; a deadly one crashes its replica sooner
DEADLY_AFTER = 0.06
SOUND_SHARE = 0.9     # of the sound requests that must be served after that
ALLOWED = 3           # deadly requests that may reach replicas after that
LEARNED_AFTER = 5     # crashes


class CrashingGroupTest(unittest.TestCase):
    def prepare(self, fleet):
        fleet.add_replica("pool-2", "pool")
        for name, it in fleet.replicas.items():
            if name.startswith("pool"):
                it.behaviour = self.answer
                fleet.announce(name, capacity=24)
        routes = [route("/stream/", "pool", "stream", timeout_ms=15000)]
        fleet.store.put("op/config", json.dumps(desired_state(1, routes)))

    def run_fleet(self, events, event_pause, gateways=GATEWAYS):
        self.gateways = gateways
        self.events = events
        self.event_pause = event_pause
        self.lock = threading.Lock()
        self.crashes = []
        self.deadly_arrivals = []
        self.began = {}   # time at which a sound request was sent, by number: whether it began
        self.threads = []
        self.is_over = threading.Event()
        return GatewayFleet(gateways, prepare=self.prepare)

    def answer(self, handler):
        if DEADLY in handler.headers.get("Almondline-Prompt-Prefix", ""):
            with self.lock:
                self.deadly_arrivals.append(time.monotonic())
            time.sleep(DEADLY_AFTER)
            with self.lock:
                self.crashes.append(time.monotonic())
            handler.replica.crash(DOWN)
            handler.close_connection = True
            return True
        time.sleep(FIRST_EVENT)
        handler.start_stream()
        for n in range(1, self.events + 1):
            if n > 1 and self.is_over.wait(self.event_pause):
                return handler.abort()
            handler.write_chunk(b"id: %d\ndata: piece %d\n\n" % (n, n))
        handler.wfile.write(b"0\r\n\r\n")
        return True

    def send(self, fleet, parts, number, gateways=None):
        gateways = gateways or range(self.gateways)
        gateway = gateways[number % len(gateways)]
        prefix = f"{parts}{len(self.threads):06x}:283"

        def call():
            begin = time.monotonic()
            try:
                status = fleet.request("/stream/1", gateway=gateway, deadline_ms=15000, timeout=20,
                                       headers={"Almondline-Prompt-Prefix": prefix,
                                                "Almondline-Model": "m",
                                                "Almondline-Token-Usage": "543,48"}).status
            except Exception:  # noqa: BLE001  a stream that breaks off
                status = 0
            if DEADLY not in parts:
                with self.lock:
                    self.began[begin, number] = status not in (429, 502, 503)

        thread = threading.Thread(target=call)
        self.threads.append(thread)
        thread.start()

    def send_group(self, fleet, gateways=None, size=GROUP):
        for n in range(size):
            self.send(fleet, "beef:60,", n, gateways)

    def crash_three_times(self, fleet, size=GROUP):
        for _ in range(3):
            self.send_group(fleet, size=size)
            time.sleep(0.05)
            self.send(fleet, f"beef:60,{DEADLY},", 0)
            time.sleep(1.1)

    def share_that_began(self, since):
        self.is_over.set()
        for it in self.threads:
            it.join()
        late = [began for (begin, _), began in self.began.items() if begin > since]
        self.assertGreater(len(late), 20)
        return sum(late) / len(late)

    def late_arrivals(self):
        if len(self.crashes) < LEARNED_AFTER:
            return 0
        since = self.crashes[LEARNED_AFTER - 1] + CONTACT
        return sum(1 for it in self.deadly_arrivals if it > since)

    def test_part_that_waiting_requests_share_with_the_deadly_ones_is_served(self):
        with self.run_fleet(events=16, event_pause=0.2, gateways=6) as fleet:
            self.send_group(fleet)
            time.sleep(4)  # all are answered, and none between the crashes
            self.crash_three_times(fleet)
            since = self.crashes[-1] + 2 * CONTACT
            for n in range(5):
                self.send_group(fleet)
                self.send(fleet, f"beef:60,{DEADLY},", n)
                time.sleep(2)
            self.assertGreaterEqual(self.share_that_began(since), SOUND_SHARE)
            self.assertLessEqual(len(self.crashes), LEARNED_AFTER)

    def test_new_part_of_long_streams_is_served_soon(self):
        # Only a complete answer ended its quarantine, and one request at a time could get it.
        with self.run_fleet(events=60, event_pause=0.2) as fleet:
            # Few enough at a time for the replicas to count as healthy afterwards.
            self.crash_three_times(fleet, size=3)
            since = self.crashes[-1] + 2 * CONTACT
            while time.monotonic() < since + 6:
                self.send_group(fleet, size=5)  # fewer in all than the replicas can take
                time.sleep(1)
            self.assertGreaterEqual(self.share_that_began(since), SOUND_SHARE)

    def test_deadly_part_is_found_when_the_granting_gateway_ends_between_its_crashes(self):
        # What had crashed before was known to the granting gateway only.
        for number in [signal.SIGTERM, signal.SIGKILL]:
            with self.subTest(number), self.run_fleet(events=4, event_pause=0.1) as fleet:
                living = list(range(GATEWAYS))
                for n in range(10):
                    self.send_group(fleet, living)
                    self.send(fleet, f"beef:60,{DEADLY},", n, living)
                    time.sleep(0.8)
                    if n in (1, 3):
                        ended = granting_gateway(fleet)
                        living.remove(fleet.gateways.index(ended))
                        ended.process.signal(number)
                        time.sleep(1)
                end = time.monotonic() + 4
                while time.monotonic() < end:
                    self.send(fleet, f"beef:60,{DEADLY},", n, living)
                    time.sleep(0.2)
                self.is_over.set()
                for it in self.threads:
                    it.join()
                self.assertLessEqual(self.late_arrivals(), ALLOWED)
                self.assertLessEqual(len(self.crashes), LEARNED_AFTER)


if __name__ == "__main__":
    unittest.main()
