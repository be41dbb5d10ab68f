"""Failures that the fault driver applies.

Each has begin(run), which injects it, and end(run), which removes it. `run` is the driver's
FaultRun. A failure does not touch the rest of the fleet, so that two of them can be combined.
"""

import signal
import subprocess

from faults.failure import Failure
from faults.placement import (PlacementHolderFrozen, PlacementHolderKilled,
                              PlacementHoldersRacing)
from support.manifests import make_manifest


class EntryFailure(Failure):
    entry = "entry-1"

    def begin(self, run):
        run.watch_listed(self.entry)
        self.inject(run)

    def inject(self, run):
        raise NotImplementedError

    def detected_s(self, run):
        return run.unlisted_after(self.entry)


class EntryKilled(EntryFailure):
    name = "entry killed"

    def inject(self, run):
        run.fleet.entries[self.entry].kill()
        run.fleet.set_listed(self.entry, None)

    def end(self, run):
        run.restart_entry(self.entry)


class EntryFrozen(EntryFailure):
    name = "entry frozen"
    entry = "entry-2"
    hold_s = 4.0

    def inject(self, run):
        run.pause_polling(self.entry)
        run.fleet.entries[self.entry].signal(signal.SIGSTOP)

    def end(self, run):
        run.fleet.entries[self.entry].signal(signal.SIGCONT)
        run.resume_polling(self.entry)


class EntryStopped(EntryFailure):
    name = "entry stopped"
    entry = "entry-3"

    def inject(self, run):
        run.note_stop(self.entry)
        run.fleet.entries[self.entry].signal(signal.SIGTERM)

    def end(self, run):
        code = run.fleet.entries[self.entry].wait(15)
        if code != 0:
            run.fail("planned stop", f"exit code {code}")
        run.fleet.set_listed(self.entry, None)
        run.restart_entry(self.entry)


class EngineFailure(Failure):
    engine = "engine-2"

    def detected_s(self, run):
        return run.first_log_line_about(self.engine)


class EngineKilled(EngineFailure):
    name = "engine killed"

    def begin(self, run):
        run.fleet.engines[self.engine].kill()

    def end(self, run):
        run.restart_engine(self.engine)


class EngineFrozen(EngineFailure):
    name = "engine frozen"
    engine = "engine-1"
    hold_s = 4.0

    def begin(self, run):
        run.fleet.engines[self.engine].signal(signal.SIGSTOP)

    def end(self, run):
        run.fleet.engines[self.engine].signal(signal.SIGCONT)


class EngineLeaving(EngineFailure):
    name = "engine leaving"
    engine = "engine-3"
    hold_s = 5.0

    def begin(self, run):
        run.note_leaving(self.engine)
        run.fleet.change_settings(run.fleet.engines[self.engine], leaving=True)

    def end(self, run):
        run.note_leaving_end(self.engine)
        run.fleet.change_settings(run.fleet.engines[self.engine], leaving=False)

    def detected_s(self, run):
        return run.last_dispatch_to(self.engine)


class EngineSlow(EngineFailure):
    name = "engine slow"
    engine = "engine-3"

    def begin(self, run):
        run.fleet.change_settings(run.fleet.engines[self.engine], slow_factor=8)

    def end(self, run):
        run.fleet.change_settings(run.fleet.engines[self.engine], slow_factor=1)

    def detected_s(self, run):
        return None


class StreamCut(EngineFailure):
    name = "stream cut"

    def begin(self, run):
        for engine in run.fleet.engines.values():
            run.fleet.order_fault(engine, kind="cut-stream", after_events=3, count=15)

    def end(self, run):
        for engine in run.fleet.engines.values():
            run.fleet.clear_faults(engine)

    def detected_s(self, run):
        return run.first_log_line_about("")


class ConnectionsSilent(StreamCut):
    name = "connections silent"
    hold_s = 4.0

    def begin(self, run):
        for engine in run.fleet.engines.values():
            run.fleet.order_fault(engine, kind="silence")


class AnswersLost(StreamCut):
    name = "engine answers lost"

    def begin(self, run):
        for process in [*run.fleet.engines.values(), *run.fleet.plains.values()]:
            run.fleet.order_fault(process, kind="reset-after", method="POST", count=5)

    def end(self, run):
        for process in [*run.fleet.engines.values(), *run.fleet.plains.values()]:
            run.fleet.clear_faults(process)


class ConnectionsRefused(StreamCut):
    name = "connections refused"

    def begin(self, run):
        for name in ("engine-0", "engine-1"):
            run.fleet.order_fault(run.fleet.engines[name], kind="refuse-connections", for_ms=2000)

    def end(self, run):
        pass


class AdmissionRefused(StreamCut):
    name = "admission refused"

    def begin(self, run):
        for engine in run.fleet.engines.values():
            run.fleet.order_fault(engine, kind="refuse-admission", count=10)


class PlatformOutage(Failure):
    name = "platform outage"
    disturbs_platform = True

    def begin(self, run):
        run.fleet.order_fault(run.fleet.platform, kind="outage")

    def end(self, run):
        run.fleet.clear_faults(run.fleet.platform)


class PlatformSlow(Failure):
    name = "platform slow"
    disturbs_platform = True

    def begin(self, run):
        run.fleet.change_settings(run.fleet.platform, slowness_ms=1500)

    def end(self, run):
        run.fleet.change_settings(run.fleet.platform, slowness_ms=0)


class StoreAnswersLost(Failure):
    name = "store answers lost"

    def begin(self, run):
        run.fleet.order_fault(run.fleet.platform, kind="lost-answer", method="PUT",
                              path="/v1/kv/manifest", count=2)
        run.publish_next()

    def end(self, run):
        run.fleet.clear_faults(run.fleet.platform)


class ListLagging(Failure):
    """The instance list still shows a killed engine as live until its lag has passed."""

    name = "list lagging"
    engine = "engine-3"

    def begin(self, run):
        run.fleet.change_settings(run.fleet.platform, list_lag_ms=4000)
        run.fleet.engines[self.engine].kill()
        run.fleet.set_listed(self.engine, None)

    def end(self, run):
        run.fleet.change_settings(run.fleet.platform, list_lag_ms=0)
        run.restart_engine(self.engine)

    def detected_s(self, run):
        return run.first_log_line_about(self.engine)


class OperatorsRacing(Failure):
    name = "operators racing"
    expected_exit_codes = [0, 4]

    def begin(self, run):
        based_on = run.version
        children = []
        for name in ("racer-a", "racer-b"):
            path = run.fleet.directory / f"{name}.json"
            path.write_text(run.fleet.manifest_text(make_manifest(name)))
            command = run.fleet.ctl_command("manifest", "publish", str(path), "--based-on",
                                            str(based_on))
            children.append(subprocess.Popen(command, stdout=subprocess.DEVNULL,
                                             stderr=subprocess.DEVNULL))
        codes = sorted(child.wait(30) for child in children)
        if codes == self.expected_exit_codes:
            run.note_publication(based_on + 1)
        else:
            run.fail("operators racing",
                     f"exit codes {codes} instead of {self.expected_exit_codes}")


class Flood(Failure):
    callers = 70
    tiers = (2,)

    def begin(self, run):
        run.load.start(self.callers, tiers=self.tiers, forms=("plain", "stream"), max_calls=12)


class LowestTierFlood(Flood):
    name = "flood of the lowest tier"


class HighestTierFlood(Flood):
    name = "flood of the highest tier"
    tiers = (0,)


SINGLE = [EntryKilled, EntryFrozen, EntryStopped, EngineKilled, EngineFrozen, EngineLeaving,
          EngineSlow, StreamCut, ConnectionsSilent, AnswersLost, ConnectionsRefused,
          AdmissionRefused, PlatformOutage, PlatformSlow, StoreAnswersLost, ListLagging,
          OperatorsRacing, LowestTierFlood, HighestTierFlood, PlacementHolderFrozen,
          PlacementHolderKilled, PlacementHoldersRacing]

PAIRS = [(LowestTierFlood, EngineKilled), (HighestTierFlood, EntryKilled),
         (EntryKilled, EngineKilled), (PlatformOutage, EntryKilled), (PlatformOutage, EngineKilled),
         (PlatformSlow, EntryFrozen), (StreamCut, EntryStopped), (ConnectionsSilent, EntryKilled),
         (OperatorsRacing, EntryStopped), (StoreAnswersLost, EntryFrozen),
         (ListLagging, LowestTierFlood), (EngineLeaving, HighestTierFlood),
         (LowestTierFlood, EntryStopped), (AnswersLost, EngineFrozen)]

# One failure of each kind, for CI.
SHORT = [(EntryKilled,), (EngineKilled,), (StreamCut,), (EntryStopped, OperatorsRacing),
         (PlacementHolderFrozen,)]


def find(names):
    """Failures by their names, for --only."""
    known = {it.name: it for it in SINGLE}
    return tuple(known[name] for name in names)
