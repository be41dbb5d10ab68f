"""Tests that each check of the fault driver fails on bad records and accepts good ones."""

import copy
import sys
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from faults.checks import CHECKS, run_checks  # noqa: E402
from faults.records import (CallRecord, JournalLine, Leaving, Observations,  # noqa: E402
                            OrderRecord, PlannedStop, Publication, VersionSeen, read_journal,
                            read_orders)


def good_call(number, tier=1, sent=100.0, ended=101.0, **changes):
    call = CallRecord(number=number, service="assistant", tier=tier, form="stream", entry="entry-0",
                      digest=f"digest-{number}", expected="a b c ", sent=sent, ended=ended,
                      status=200, verdict="ran", answer="a b c ", is_complete=True)
    for name, value in changes.items():
        setattr(call, name, value)
    return call


def refused_call(number, **changes):
    values = {"status": 503, "verdict": "not-run", "answer": "", "retry_after": "1", "code": "shed",
              **changes}
    return good_call(number, **values)


def line(number, backend="engine-0", dispatched=1, ran=1, arrived=100.5, request_id=None):
    return JournalLine(backend, request_id or f"id-{number}", f"digest-{number}", dispatched, ran,
                       [arrived])


def order(fencing, engine="engine-0", kind="role", at=100.0, is_taken=True, interrupted=0):
    return OrderRecord(engine, kind, "draining", fencing, is_taken, interrupted, at)


def good_run():
    return Observations(
        calls=[good_call(1), good_call(2, tier=2), refused_call(3)],
        journal=[line(1), line(2)],
        stops=[PlannedStop("entry-1", 100.5)],
        orders=[order(7, at=100.0), order(7, kind="unload-model", at=101.0), order(9, at=102.0),
                order(7, at=103.0, is_taken=False), order(9, engine="engine-1", at=103.0)],
        leaving=[Leaving("engine-1", 90.0)],
        versions=[VersionSeen("entry-0", 0, 99.0, 1), VersionSeen("entry-0", 0, 103.0, 2)],
        publications=[Publication(2, 100.0)])


def remove_journal_line(seen):
    seen.journal.pop()


# Check that must fail, description, and the change to the good run that makes it fail.
BAD_RUNS = [
    ("dispatched twice", "same id twice", lambda s: setattr(s.journal[0], "dispatched", 2)),
    ("dispatched twice", "second id on another engine", lambda s: s.journal.append(
        line(1, backend="engine-2", ran=0, request_id="other"))),
    ("ran twice", "same id twice", lambda s: setattr(s.journal[0], "ran", 2)),
    ("ran twice", "on two engines", lambda s: s.journal.append(line(1, backend="engine-2"))),
    ("false refusals", "the refused call ran", lambda s: s.journal.append(line(3))),
    ("false refusals", "the refused retry ran", lambda s: (
        s.calls.append(refused_call(1, is_retry=True, request_id="id-1")))),
    ("answers lost", "no answer", lambda s: s.calls.append(
        good_call(4, ended=0, status=0, answer="", is_complete=False))),
    ("answers lost", "answer without a run", remove_journal_line),
    ("answers mixed", "answer of another call", lambda s: setattr(s.calls[0], "answer", "x y ")),
    ("answers mixed", "partial answer of another call", lambda s: s.calls.append(
        good_call(4, answer="a x", is_complete=False, error="reset"))),
    ("answers cut", "short answer", lambda s: setattr(s.calls[0], "answer", "a b ")),
    ("answers cut", "no end mark", lambda s: setattr(s.calls[0], "has_end_mark", False)),
    ("shedding inversions", "a lower tier waited", lambda s: (
        s.calls.append(refused_call(4, tier=0, sent=100.2, ended=100.3)),
        s.calls.append(good_call(5, tier=2, sent=100.0, ended=102.0)),
        s.journal.append(line(5, arrived=101.0)))),
    ("manifest reversions", "older version", lambda s: s.versions.append(
        VersionSeen("entry-0", 0, 104.0, 1))),
    ("manifests late", "old after 5 s", lambda s: s.versions.append(
        VersionSeen("entry-1", 0, 106.0, 1))),
    ("work after leaving", "dispatch after 3 s", lambda s: s.journal.append(
        line(6, backend="engine-1", arrived=93.5))),
    ("interrupted by stop", "connection broke", lambda s: s.calls.append(
        good_call(4, entry="entry-1", status=0, answer="", is_complete=False, error="reset"))),
    ("interrupted by stop", "stream broke", lambda s: s.calls.append(
        good_call(4, entry="entry-1", answer="a ", is_complete=False, error="reset"))),
    ("orders of older holders", "same engine", lambda s: s.orders.append(order(8, at=102.0))),
    ("orders of older holders", "engine without an order of the newer holder", lambda s: (
        s.orders.append(order(7, engine="engine-2", at=102.5)))),
    ("interrupted by unload", "two requests", lambda s: setattr(s.orders[1], "interrupted", 2)),
    ("refusals without Retry-After", "none given", lambda s: setattr(
        s.calls[2], "retry_after", "")),
    ("refusals late", "near the deadline", lambda s: setattr(s.calls[2], "ended", 119.0)),
]

# Changes that must not be reported.
GOOD_CHANGES = [
    ("broken connection that the caller noticed", lambda s: s.calls.append(
        good_call(4, status=0, answer="", is_complete=False, error="reset"))),
    ("stream that broke with an error", lambda s: s.calls.append(
        good_call(4, answer="a ", has_end_mark=False, is_complete=False, error="closed"))),
    ("stream that reports an error", lambda s: s.calls.append(
        good_call(4, answer="a ", has_end_mark=False, has_error=True))),
    ("a higher tier waited", lambda s: (
        s.calls.append(refused_call(4, tier=2, sent=100.2, ended=100.3)),
        s.calls.append(good_call(5, tier=0, sent=100.0, ended=102.0)),
        s.journal.append(line(5, arrived=101.0)))),
    ("a lower tier that arrived later", lambda s: (
        s.calls.append(refused_call(4, tier=0, sent=100.0, ended=100.3)),
        s.calls.append(good_call(5, tier=2, sent=100.2, ended=102.0)),
        s.journal.append(line(5, arrived=101.0)))),
    ("retry refused after the first attempt ran", lambda s: s.calls.append(
        refused_call(1, is_retry=True, request_id="other"))),
    ("work within 3 s of leaving", lambda s: s.journal.append(
        line(6, backend="engine-1", arrived=92.5))),
    ("work after it stopped leaving", lambda s: (
        setattr(s.leaving[0], "until", 95.0),
        s.journal.append(line(6, backend="engine-1", arrived=96)))),
    ("lower version after a restart", lambda s: s.versions.append(
        VersionSeen("entry-0", 1, 104.0, 1))),
    ("refused connection at a stopped entry", lambda s: s.calls.append(
        good_call(4, entry="entry-1", sent=101, status=0, answer="", is_complete=False,
                  error="refused", is_connected=False))),
]


class ChecksTest(unittest.TestCase):
    def test_good_run_passes(self):
        self.assertEqual(run_checks(good_run()), {})

    def test_each_check_fails_on_bad_records(self):
        for check, description, damage in BAD_RUNS:
            with self.subTest(check=check, description=description):
                seen = copy.deepcopy(good_run())
                damage(seen)
                self.assertIn(check, run_checks(seen))

    def test_each_check_has_a_bad_run(self):
        self.assertEqual({check for check, _, _ in BAD_RUNS}, set(CHECKS))

    def test_explained_failures_are_not_reported(self):
        for description, change in GOOD_CHANGES:
            with self.subTest(description=description):
                seen = copy.deepcopy(good_run())
                change(seen)
                self.assertEqual(run_checks(seen), {})

    def test_journal_of_orders(self):
        lines = ["dispatch a d1 1000", "order unload-model m 7 taken 2 1500",
                 "order role draining 6 refused 0 1600"]
        self.assertEqual(read_orders("engine-0", lines), [
            OrderRecord("engine-0", "unload-model", "m", 7, True, 2, 1.5),
            OrderRecord("engine-0", "role", "draining", 6, False, 0, 1.6)])
        self.assertEqual([it.request_id for it in read_journal("engine-0", lines)], ["a"])

    def test_journal_counts_dispatches_and_runs_per_id(self):
        lines = ["dispatch a d1 1000", "run a", "dispatch b d2 1500", "dispatch a d1 2000", "run"]
        first, second = read_journal("engine-0", lines)
        self.assertEqual((first.dispatched, first.ran, first.arrived), (2, 1, [1.0, 2.0]))
        self.assertEqual((second.digest, second.dispatched, second.ran), ("d2", 1, 0))


if __name__ == "__main__":
    unittest.main()
