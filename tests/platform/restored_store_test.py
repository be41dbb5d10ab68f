"""Tests that gateways go on correctly when the store returns from an older copy."""

import json
import sys
import time
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from gateway_fleet import GatewayFleet, desired_state, route  # noqa: E402
from support.waiting import wait_until  # noqa: E402

GATEWAYS = 3
APPLY = 2.0               # seconds in which a change has to be in force everywhere
RETURN = 2.0              # seconds in which replicas write their records again
MOST_CALLS = 12           # store calls a second of each gateway, once the restore is over


def state(version, *added):
    routes = desired_state()["routes"] + [route(f"/{it}/", "desk", public=True) for it in added]
    return json.dumps(desired_state(version, routes))


class RestoredStoreTest(unittest.TestCase):
    def setUp(self):
        self.fleet = GatewayFleet(GATEWAYS).__enter__()
        self.addCleanup(self.fleet.__exit__)
        self.store = self.fleet.store
        # Gateways register and start their watches before the copy is made.
        self.assertTrue(wait_until(lambda: len(self.records()) == GATEWAYS, 5))
        time.sleep(1.5)

    def records(self):
        with self.store.lock:
            return {key: it for key, it in self.store.items.items()
                    if key.startswith("almondline/instances/")}

    def statuses(self, path):
        return [self.fleet.request(path, gateway=n).status for n in range(GATEWAYS)]

    def is_served(self, path):
        return self.statuses(path) == [200] * GATEWAYS

    def write_after_copy(self):
        """Makes changes that the copy does not have."""
        for n in range(20):
            self.store.put("other/key", str(n))
        self.store.put("op/config", state(2, "added"))
        self.fleet.announce("desk-1", capacity=8)
        self.assertTrue(wait_until(lambda: self.is_served("/added/1"), APPLY))

    def restore(self, saved, away=0.5):
        self.store.is_down = True
        time.sleep(away)
        self.store.restore(saved)
        self.store.is_down = False

    def check_calls(self):
        before = sum(self.store.calls.values())
        time.sleep(3)
        self.assertLess(sum(self.store.calls.values()) - before, 3 * MOST_CALLS * GATEWAYS)

    def check_registered(self):
        """Each gateway has a record under a lease that the store knows."""
        def is_done():
            records = self.records()
            with self.store.lock:
                return (len(records) == GATEWAYS
                        and all(it["lease"] in self.store.leases for it in records.values())
                        and len({it["lease"] for it in records.values()}) == GATEWAYS)
        self.assertTrue(wait_until(is_done, 8))

    def test_changes_after_a_restore_are_in_force_and_older_ones_do_not_return(self):
        # Revisions went back, and everything up to the highest one seen was ignored.
        saved = self.store.copy()
        self.write_after_copy()
        self.restore(saved)
        end = time.monotonic() + 1
        while time.monotonic() < end:
            self.assertEqual(self.statuses("/added/1"), [200] * GATEWAYS)
        self.store.put("op/config", state(2, "added"))
        self.store.put("op/config", state(3, "added", "later"))
        self.assertTrue(wait_until(lambda: self.is_served("/later/1"), APPLY))
        self.assertEqual(self.statuses("/added/1"), [200] * GATEWAYS)
        self.check_calls()
        self.check_registered()

    def test_revisions_that_are_given_out_again_hide_no_change(self):
        # A watch from an old revision that the store has again would skip what came before it.
        saved = self.store.copy()
        self.write_after_copy()
        self.restore(saved, away=0)
        for n in range(40):
            self.store.put("other/key", str(n))
        self.store.put("op/config", state(3, "added", "later"))
        for n in range(40):
            self.store.put("other/key", str(n))
        self.assertTrue(wait_until(lambda: self.is_served("/later/1"), APPLY))

    def preferred_replica(self):
        """Returns the id of a replica that gets requests while it is ready."""
        before = {name: len(it.runs) for name, it in self.fleet.replicas.items()}
        self.fleet.request("/order/1")
        return next(name for name, it in self.fleet.replicas.items()
                    if len(it.runs) > before[name])

    def check_gets_no_request(self, replica_id, seconds):
        before = len(self.fleet.replicas[replica_id].runs)
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for n in range(GATEWAYS):
                self.assertEqual(self.fleet.request("/order/1", gateway=n).status, 200)
        self.assertEqual(len(self.fleet.replicas[replica_id].runs), before)

    def test_replica_that_leaves_after_a_restore_gets_no_requests(self):
        # The list of replicas stayed as it was before the restore.
        saved = self.store.copy()
        self.write_after_copy()
        self.restore(saved)
        time.sleep(RETURN)
        leaving = self.preferred_replica()
        self.fleet.announce(leaving, state="draining")
        time.sleep(2)
        self.check_gets_no_request(leaving, seconds=1)

    def test_replica_that_left_before_a_restore_does_not_return_with_the_copy(self):
        # Its record in the copy says that it is ready.
        gone = self.preferred_replica()
        saved = self.store.copy()
        self.store.remove(f"servers/{gone}")
        self.write_after_copy()
        time.sleep(4)
        self.restore(saved)
        self.check_gets_no_request(gone, seconds=4)

    def test_replica_that_starts_after_the_copy_keeps_its_requests(self):
        # Its record is missing until it writes it again.
        saved = self.store.copy()
        self.fleet.add_replica("desk-2", "desk")
        for n in range(2):
            self.fleet.announce(f"desk-{n}", state="draining")
        time.sleep(2)
        self.restore(saved)
        self.check_gets_no_request("desk-0", seconds=1)
        for n in range(3):
            self.fleet.announce(f"desk-{n}")
        self.check_gets_no_request("desk-1", seconds=3)

    def test_records_of_gateways_are_written_again(self):
        # Leases of the copy end, and their ids are given out again to others.
        saved = self.store.copy()
        for it in list(self.records()):
            self.store.remove(it)
        self.store.leases.clear()
        self.store.next_lease += 10
        empty = self.store.copy()
        self.restore(empty)
        self.check_registered()
        self.restore(saved, away=0)
        self.restore(saved, away=0.3)
        self.check_registered()
        self.check_calls()


if __name__ == "__main__":
    unittest.main()
