"""One run: a fleet of real processes, a bounded load, and one or two failures."""

import re
import threading
import time
from collections import Counter
from datetime import datetime

from faults.load import AddressBook, Load
from faults.records import (Leaving, Observations, PlannedStop, Publication, VersionSeen,
                            read_journal, read_orders)
from support import http_client
from support.fleet import DOMAINS, Fleet
from support.manifests import ENGINE_CLASSES, make_manifest

POLL_S = 0.1
# After a freeze, an entry may need up to the 5 s of docs/design.md to get the current manifest.
POLL_PAUSE_AFTER_FREEZE_S = 5.5
WARM_UP_S = 1.5
WATCH_AFTER_END_S = 2.5
CALLERS = 18
LOG_TIME = re.compile(r"time=(\S+)")
LOG_FIELD = re.compile(r'(\w+)=("[^"]*"|\S+)')


def parse_log_time(line):
    found = LOG_TIME.match(line)
    if not found:
        return 0.0
    return datetime.fromisoformat(found.group(1).replace("Z", "+00:00")).timestamp()


def read_version(status):
    """Version of the manifest that an entry instance reports to be in force."""
    manifest = status.get("manifest", {})
    return manifest.get("version", 0) if isinstance(manifest, dict) else 0


class FaultRun:
    def __init__(self, failures, seed, preset=None):
        self.failures = [failure() for failure in failures]
        self.seed = seed
        self.fleet = Fleet(preset=preset)
        self.seen = Observations()
        self.problems = {}
        self.version = 0
        self.incarnations = {}
        self.paused = {}  # entry -> time from which it is polled again
        self.watched = {}  # entry -> time at which it was no longer listed, None before
        self.placements = self._first_of("placements")
        self.fleet.entry_settings = self._first_of("entry_settings")
        self.injected = 0.0
        self.taken_over = 0.0  # when a new placement holder was seen
        self.lifted = 0.0
        self.load = None
        self.is_over = threading.Event()

    def _first_of(self, attribute):
        return next((getattr(it, attribute) for it in self.failures if getattr(it, attribute)), [])

    # Called by the failures.

    def fail(self, check, text):
        self.problems.setdefault(check, []).append(text)

    def note_publication(self, version):
        self.version = version
        self.seen.publications.append(Publication(version, time.time()))

    def publish_next(self, placements=None):
        self.placements = placements or self.placements
        manifest = make_manifest(f"version-{self.version + 1}", max_waiting=40,
                                 placements=self.placements)
        done = self.fleet.publish(manifest, self.version)
        if done.returncode == 0:
            self.note_publication(self.version + 1)
        else:
            self.fail("publication", f"exit code {done.returncode}: {done.stderr.strip()}")

    def close_gates(self):
        for it in self.fleet.gates.values():
            it.close()

    def open_gates(self):
        for it in self.fleet.gates.values():
            it.open()

    def read_orders(self):
        return [it for name in self.fleet.engines
                for it in read_orders(name, self.fleet.read_journal_lines(name))]

    def decisions_of(self, entry):
        """Placement decisions in the log of an entry, as dictionaries of their fields."""
        path = self.fleet.directory / f"{entry}.log"
        lines = path.read_text(errors="replace").splitlines() if path.exists() else []
        return [dict(LOG_FIELD.findall(it)) for it in lines if "event=placement-decision" in it]

    def note_stop(self, entry):
        self.pause_polling(entry)
        self.seen.stops.append(PlannedStop(entry, time.time()))

    def note_leaving(self, backend):
        self.seen.leaving.append(Leaving(backend, time.time()))

    def note_leaving_end(self, backend):
        for it in self.seen.leaving:
            if it.backend == backend:
                it.until = time.time()

    def pause_polling(self, entry):
        self.paused[entry] = float("inf")

    def resume_polling(self, entry):
        self.paused[entry] = time.time() + POLL_PAUSE_AFTER_FREEZE_S

    def watch_listed(self, entry):
        self.watched[entry] = None

    def unlisted_after(self, entry):
        at = self.watched.get(entry)
        return None if at is None else at - self.injected

    def restart_entry(self, name):
        domain = self.fleet.records[name]["failure_domain"]
        self.incarnations[name] = self.incarnations.get(name, 0) + 1
        entry = self.fleet.start_entry(name, domain)
        self.load.book.add(name, entry.address)
        self.paused.pop(name, None)

    def restart_engine(self, name):
        record = self.fleet.records[name]
        self.fleet.start_engine(name, record["engine_class"], record["failure_domain"],
                                listen=record["address"])

    def first_log_line_about(self, backend):
        """Seconds from the injection to the first entry log line that reports a problem with the
        backend server."""
        first = None
        for name in self.fleet.entries:
            path = self.fleet.directory / f"{name}.log"
            for line in path.read_text(errors="replace").splitlines():
                is_report = "level=warning" in line or "event=resume" in line or \
                    "event=retry" in line
                at = parse_log_time(line)
                if is_report and backend in line and at >= self.injected:
                    first = at if first is None else min(first, at)
        return None if first is None else first - self.injected

    def last_dispatch_to(self, backend):
        until = self.lifted or time.time()
        times = [t for it in self.seen.journal if it.backend == backend for t in it.arrived
                 if self.injected <= t < until]
        return max(times) - self.injected if times else 0.0

    # Steps of a run.

    def _poll_version(self, name):
        if time.time() < self.paused.get(name, 0):
            return
        incarnation = self.incarnations.get(name, 0)
        version = read_version(self.fleet.status(name))
        # 0: not ready yet, or not answering.
        if version > 0 and time.time() >= self.paused.get(name, 0):
            self.seen.versions.append(VersionSeen(name, incarnation, time.time(), version))

    def _poll_listed(self):
        for watched, at in list(self.watched.items()):
            if at is not None:
                continue
            missing_address = self.fleet.records[watched]["address"]
            for name, entry in list(self.fleet.entries.items()):
                if name == watched or name in self.paused or not entry.is_running():
                    continue
                answer = http_client.call(entry.address, "GET", "/v1/addresses", timeout=0.5).json()
                listed = [it["address"] for it in answer.get("addresses", [])]
                if listed and missing_address not in listed:
                    self.watched[watched] = time.time()
                break

    def _poll(self):
        while not self.is_over.is_set():
            for name in list(self.fleet.entries):
                self._poll_version(name)
            self._poll_listed()
            time.sleep(POLL_S)

    def _start(self):
        self.fleet.start_platform()
        count = len(ENGINE_CLASSES)
        domains = self._first_of("engine_domains") or [DOMAINS[i % 3] for i in range(count)]
        options = self._first_of("engine_options") or [()] * count
        is_gated = any(it.uses_gates for it in self.failures)
        for i, engine_class in enumerate(ENGINE_CLASSES):
            self.fleet.start_engine(f"engine-{i}", engine_class, domains[i], options[i],
                                    is_gated=is_gated)
        self.fleet.start_plain("booking-0", DOMAINS[0])
        self.publish_next()
        for i in range(6):
            self.fleet.start_entry(f"entry-{i}", DOMAINS[i % 3])
        self.fleet.wait_ready()
        seeds = {name: entry.address for name, entry in self.fleet.entries.items()}
        self.load = Load(AddressBook(seeds), self.seed)

    def _apply(self):
        self.load.start(CALLERS)
        time.sleep(WARM_UP_S)
        # Publishes before the failure, or after it if it disturbs the platform.
        disturbs_platform = any(it.disturbs_platform for it in self.failures)
        if not disturbs_platform:
            self.publish_next()
        self.injected = time.time()
        for failure in self.failures:
            failure.begin(self)
        time.sleep(max(it.hold_s for it in self.failures))
        self.lifted = time.time()
        for failure in self.failures:
            failure.end(self)
        if disturbs_platform:
            self.publish_next()
        time.sleep(WATCH_AFTER_END_S)

    def execute(self):
        """Runs the fleet under load with the failures. Returns the violations by check."""
        poller = threading.Thread(target=self._poll, daemon=True)
        with self.fleet:
            self._start()
            poller.start()
            self._apply()
            self.seen.calls = self.load.stop()
            self.is_over.set()
            poller.join(10)
            for name in [*self.fleet.engines, *self.fleet.plains]:
                self.seen.journal += read_journal(name, self.fleet.read_journal_lines(name))
            self.seen.orders = self.read_orders()
            self.row = self._make_row()
        return self.problems

    def _recovered_s(self):
        """Seconds from the injection to the end of the last unanswered call, without shed calls."""
        unanswered = [it.ended for it in self.seen.calls
                      if not it.is_answered and it.ended > self.injected and it.code != "shed"]
        return max(unanswered) - self.injected if unanswered else 0.0

    def _make_row(self):
        calls = self.seen.calls
        detected = [it.detected_s(self) for it in self.failures]
        return {
            "failure": " + ".join(it.name for it in self.failures),
            "seed": self.seed,
            "calls": len(calls),
            "answered": sum(it.is_answered for it in calls),
            "not run": sum(it.verdict == "not-run" for it in calls),
            "unknown": sum(not it.is_answered and it.verdict != "not-run" for it in calls),
            "detect s": "/".join("-" if it is None else f"{it:.1f}" for it in detected),
            "recover s": f"{self._recovered_s():.1f}",
            "codes": dict(Counter(f"tier {it.tier} {it.service}: {it.code or it.error}"
                                  for it in calls if not it.is_answered)),
        }
