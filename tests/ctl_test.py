"""Tests almondctl with real entry processes and the stand-in for the platform."""

import json
import sys
import time
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))

from support import http_client  # noqa: E402
from support.chat import chat_body  # noqa: E402
from support.fleet import DOMAINS, Fleet, stop_on_signals  # noqa: E402
from support.manifests import LARGE_MODEL, MODEL, account_key, make_manifest  # noqa: E402

PLACEMENTS = [{"model": MODEL, "size_mb": 10, "min_replicas": 1, "max_replicas": 2},
              {"model": LARGE_MODEL, "size_mb": 10, "min_replicas": 1, "max_replicas": 2}]
OK = 0
LOST_RACE = 4
PLACEMENT_TIMEOUT_S = 25.0


class CtlTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = Fleet()
        cls.fleet.entry_settings = ["[placement]", "lease = 1s", "order_margin = 400ms"]
        cls.fleet.start_platform()
        for i in range(2):
            cls.fleet.start_engine(f"engine-{i}", "gen4", DOMAINS[i])
            cls.fleet.start_entry(f"entry-{i}", DOMAINS[i])
        cls.published = cls.fleet.publish(make_manifest("first", placements=PLACEMENTS), 0)
        cls.fleet.wait_ready()

    @classmethod
    def tearDownClass(cls):
        cls.fleet.stop()

    def run_json(self, *arguments, entry=None):
        done = self.fleet.run_ctl("--json", *arguments, entry=entry)
        self.assertEqual(done.returncode, OK, done.stderr)
        return json.loads(done.stdout)

    def test_publication_conflict_and_history(self):
        """Guards against a store client that mistakes store revisions for manifest versions."""
        self.assertEqual(self.published.returncode, OK, self.published.stderr)
        late = self.fleet.publish(make_manifest("late", placements=PLACEMENTS), 0)
        self.assertEqual(late.returncode, LOST_RACE, late.stdout + late.stderr)
        history = self.run_json("manifest", "history")["history"]
        self.assertEqual([it["version"] for it in history], [1])
        self.assertEqual(history[0]["operator"], "tests")

    def test_explain_from_another_entry(self):
        """Guards against decisions that only the entry that handled the request can show."""
        entries = list(self.fleet.entries.values())
        headers = {"Authorization": f"Bearer {account_key('north')}", "X-Tier": "urgent"}
        answer = http_client.call(entries[0].address, "POST", "/v1/chat/completions", headers,
                                  chat_body(MODEL, "Is it open?", 4, False))
        self.assertEqual(answer.status, 200, answer.body)
        for entry in entries:
            done = self.fleet.run_ctl("explain", answer.header("x-request-id"),
                                      entry=entry.address)
            self.assertEqual(done.returncode, OK, done.stderr)
            for event in ("event=grant", "event=dispatch", "event=answer"):
                self.assertIn(event, done.stdout)

    def test_status_shows_placement(self):
        """Guards against a placement plan that is not carried out or is missing from the status."""
        deadline = time.monotonic() + PLACEMENT_TIMEOUT_S
        served = set()
        while time.monotonic() < deadline and served != {MODEL, LARGE_MODEL}:
            states = [self.fleet.engine_state(it) for it in self.fleet.engines]
            served = {model for it in states if it["role"] != "draining" for model in it["models"]}
            time.sleep(0.2)
        self.assertEqual(served, {MODEL, LARGE_MODEL})
        reports = [self.run_json("status", entry=it.address)["placement"]
                   for it in self.fleet.entries.values()]
        holders = [it for it in reports if it["holder"]]
        self.assertEqual(len(holders), 1)
        holder = holders[0]
        self.assertGreater(holder["fencing"], 0)
        self.assertEqual({it["fencing"] for it in holder["orders"]}, {holder["fencing"]})
        self.assertEqual([it["order"] for it in holder["orders"]][:2], ["drain", "load"])
        self.assertEqual({it["holder_instance"] for it in reports}, {holder["holder_instance"]})
        text = self.fleet.run_ctl("status", entry=next(iter(self.fleet.entries.values())).address)
        for word in ("placement", "holder_instance", "fencing"):
            self.assertIn(word, text.stdout)


if __name__ == "__main__":
    stop_on_signals()
    unittest.main()
