"""Tests that gateways keep their requests to a replica within the rate that it advertises."""

import statistics
import sys
import time
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from gateway_fleet import GatewayFleet  # noqa: E402
from support.workers import Workers  # noqa: E402

GATEWAYS = 3
CALLERS = 6
CROWD = 24                # callers that want more than the replicas accept
WINDOW = 4.0              # seconds in which arrivals are counted
EXCESS = 1.5              # share of the rate that may arrive in a window
EXTRA = 5                 # requests beyond that share


class Arrivals:
    """Times of the requests that reached a replica which advertises a rate in its responses."""

    def __init__(self, replica, rate):
        self.replica = replica
        self.rate = rate
        self.is_advertised = True
        self.times = []
        replica.behaviour = self.answer

    def answer(self, handler):
        self.times.append(time.monotonic())
        fields = [("Almondline-Server-Seal", "s")]
        if self.is_advertised:
            fields.append(("Server-Limit", str(self.rate)))
        handler.answer(200, b"ran", fields)
        return True

    def most_in_a_window(self, begin):
        times = [it for it in self.times if it >= begin]
        return max((sum(1 for it in times if first <= it < first + WINDOW) for first in times),
                   default=0)

    def allowed(self):
        return EXCESS * self.rate * WINDOW + EXTRA


class Load(Workers):
    """Callers that send lookups to all gateways until the end of a `with` block."""

    def __init__(self, fleet, pause, callers=CALLERS):
        super().__init__([(self.call, (n,)) for n in range(callers)])
        self.fleet = fleet
        self.pause = pause
        self.answers = []

    def call(self, number):
        count = 0
        while not self.is_over.is_set():
            count += 1
            gateway = (number + count) % GATEWAYS
            fields = {"Almondline-Attempt-Id": f"load-{number}-{count}"}
            begin = time.monotonic()
            try:
                answer = self.fleet.request("/look/1", "GET", None, gateway=gateway,
                                            headers=fields)
                self.answers.append((time.monotonic() - begin, answer))
            except OSError:
                pass  # a test may have killed this gateway
            time.sleep(self.pause)


def granting_gateway(fleet):
    """Returns the running gateway that owns the pools."""
    for it in fleet.gateways:
        if not it.process.is_running():
            continue
        text = it.call("metrics", "GET", "/metrics").body.decode()
        owned = [line for line in text.splitlines() if line.startswith("almondline_pools_owned")]
        if owned and float(owned[0].split()[1]) > 0:
            return it
    raise AssertionError("no gateway owns a pool")


class ServerRateTest(unittest.TestCase):
    def test_replicas_get_no_more_requests_than_the_rate_they_advertise(self):
        # Replicas that advertised a rate were chosen as if they had not.
        with GatewayFleet(GATEWAYS) as fleet:
            arrivals = [Arrivals(fleet.replicas["desk-0"], 3.0)]
            with Load(fleet, pause=0.05) as load:
                time.sleep(1)
                begin = time.monotonic()
                time.sleep(5.5)
            for it in arrivals:
                self.assertLessEqual(it.most_in_a_window(begin), it.allowed())
                self.assertGreaterEqual(it.most_in_a_window(begin), it.rate * WINDOW / 2)
            # The other replica has room for all others.
            self.assertEqual({answer.status for _, answer in load.answers}, {200})

    def test_rate_holds_when_the_granting_gateway_is_killed(self):
        # A new granter would start with all slots of the replica if nobody told it.
        with GatewayFleet(GATEWAYS) as fleet:
            it = Arrivals(fleet.replicas["desk-0"], 3.0)
            with Load(fleet, pause=0.05):
                time.sleep(1)
                begin = time.monotonic()
                time.sleep(2)
                granting_gateway(fleet).process.kill()
                time.sleep(5)
            self.assertLessEqual(it.most_in_a_window(begin), it.allowed())
            self.assertGreaterEqual(it.most_in_a_window(begin), it.rate * WINDOW / 2)

    def test_callers_are_refused_at_once_when_all_replicas_advertise_low_rates(self):
        # Callers waited until their deadline for replicas that could not take their requests.
        with GatewayFleet(GATEWAYS) as fleet:
            arrivals = [Arrivals(fleet.replicas[f"desk-{n}"], 2.0) for n in range(2)]
            with Load(fleet, pause=0.02):
                time.sleep(1)
            with Load(fleet, pause=0.1, callers=CROWD) as load:
                begin = time.monotonic()
                time.sleep(5)
            for it in arrivals:
                self.assertLessEqual(it.most_in_a_window(begin), it.allowed())
            served = [answer for _, answer in load.answers if answer.status == 200]
            refused = [it for it in load.answers if it[1].status == 503]
            self.assertGreater(len(served), 10)
            self.assertGreater(len(refused), CROWD)
            for _, answer in refused:
                self.assertIn("Retry-After", answer.headers)
            # Callers wait for 1.5 s. Some are refused late, because a forecast is not exact.
            self.assertLess(statistics.median(seconds for seconds, _ in refused), 0.5)

    def test_replica_gets_its_usual_requests_when_it_no_longer_advertises_a_rate(self):
        # A rate that nobody lifts would keep a recovered replica idle.
        with GatewayFleet(GATEWAYS) as fleet:
            it = Arrivals(fleet.replicas["desk-0"], 3.0)
            with Load(fleet, pause=0.02):
                time.sleep(2)
                it.is_advertised = False
                time.sleep(2)
                begin = time.monotonic()
                time.sleep(4)
            self.assertGreater(it.most_in_a_window(begin), 2 * it.allowed())


if __name__ == "__main__":
    unittest.main()
