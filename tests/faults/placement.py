"""Failures of the instance that controls model placement.

Connections to the engines pass through gates. Two engines check fencing tokens and are in one
failure domain, the other two ignore the tokens and are in another domain. The plan spreads a model
over failure domains, so that orders go to engines of both kinds.
"""

import signal
import time

from faults.failure import Failure
from support.manifests import LARGE_MODEL, MODEL

PLAN_TIMEOUT_S = 25.0
TAKEOVER_TIMEOUT_S = 20.0
POLL_S = 0.02


class PlacementFailure(Failure):
    hold_s = 1.0
    # At first both models have their minimum, then the large one needs engines of both kinds.
    placements = [{"model": MODEL, "size_mb": 50, "min_replicas": 1, "max_replicas": 4},
                  {"model": LARGE_MODEL, "size_mb": 50, "min_replicas": 0, "max_replicas": 2}]
    placements_changed = [
        {"model": MODEL, "size_mb": 50, "min_replicas": 1, "max_replicas": 4},
        {"model": LARGE_MODEL, "size_mb": 50, "min_replicas": 2, "max_replicas": 2}]
    # Callers of the frozen holder must get their answers within their time limits, so the takeover
    # must be faster than with the default lease of 10 s.
    entry_settings = ["[placement]", "lease = 2s", "order_margin = 800ms"]
    engine_domains = ["domain-a", "domain-b", "domain-b", "domain-a"]
    engine_options = [(), ("--ignore-fencing",), ("--ignore-fencing",), ()]
    uses_gates = True

    def begin(self, run):
        holder, fencing = self.wait_for_holder(run, 0)
        # A new holder waits before it sends orders. The first holder's wait must be over.
        time.sleep(4.0)
        run.injected = time.time()
        self.inject(run, holder, fencing)

    def inject(self, run, holder, fencing):
        raise NotImplementedError

    def wait_for_holder(self, run, above, seconds=TAKEOVER_TIMEOUT_S):
        """Returns name and fencing token of a lease holder whose token is higher than `above`."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            for name, entry in run.fleet.entries.items():
                if name in run.paused or not entry.is_running():
                    continue
                status = run.fleet.status(name).get("placement", {})
                if status.get("holder") and status.get("fencing", 0) > above:
                    return name, status["fencing"]
            time.sleep(POLL_S)
        run.fail("placement", f"no holder with a fencing token above {above} after {seconds} s")
        return "", 0

    def orders_taken(self, run, fencing):
        """Returns the engines that took an order of this holder or a newer one."""
        return {it.engine for it in run.read_orders() if it.is_taken and it.fencing >= fencing}

    def wait_for_orders(self, run, fencing, count, seconds=TAKEOVER_TIMEOUT_S):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if len(self.orders_taken(run, fencing)) >= count:
                return
            time.sleep(POLL_S)
        run.fail("placement", f"fewer than {count} engines took an order of holder {fencing} "
                              f"within {seconds} s")

    def wait_for_models(self, run, seconds=PLAN_TIMEOUT_S):
        """Waits until the plan is carried out: two engines serve the large model."""
        deadline = time.monotonic() + seconds
        states = []
        while time.monotonic() < deadline:
            states = [run.fleet.engine_state(name) for name in run.fleet.engines]
            serving = [it for it in states if it.get("models") == [LARGE_MODEL]
                       and it.get("role") == "serving"]
            if len(serving) == 2:
                return
            time.sleep(0.1)
        run.fail("placement", f"the plan was not carried out within {seconds} s: "
                              f"{[(it.get('models'), it.get('role')) for it in states]}")

    @staticmethod
    def wait_for_decisions(run, holder, seen, count, seconds=8.0):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            lines = run.decisions_of(holder)[seen:]
            if len(lines) >= count:
                return lines
            time.sleep(0.005)
        run.fail("placement", f"{holder} made no decision within {seconds} s")
        return []

    def detected_s(self, run):
        return run.taken_over - run.injected if run.taken_over else None


class PlacementHolderFrozen(PlacementFailure):
    """The holder is stopped after it checked its lease and while it connects to send its orders. It
    continues after a new holder's orders took effect."""

    name = "placement holder frozen"

    def inject(self, run, holder, fencing):
        run.close_gates()
        seen = len(run.decisions_of(holder))
        run.publish_next(self.placements_changed)
        decisions = self.wait_for_decisions(run, holder, seen, 2)
        run.pause_polling(holder)
        run.fleet.entries[holder].signal(signal.SIGSTOP)
        run.open_gates()
        sent_to = {it["replica"] for it in decisions}
        ignoring = {f"engine-{i}" for i, it in enumerate(self.engine_options) if it}
        if not (sent_to & ignoring and sent_to - ignoring):
            run.fail("placement", f"orders went to engines of one kind only: {sorted(sent_to)}")
        reached = self.orders_taken(run, fencing) & sent_to
        if reached:
            run.fail("placement", f"the holder was stopped too late: {sorted(reached)} took orders")
        _, newer = self.wait_for_holder(run, fencing)
        run.taken_over = time.time()
        self.wait_for_orders(run, newer, 2)
        run.fleet.entries[holder].signal(signal.SIGCONT)
        run.resume_polling(holder)

    def end(self, run):
        self.wait_for_models(run)


class PlacementHolderKilled(PlacementFailure):
    """The holder is killed while replicas drain."""

    name = "placement holder killed"

    def inject(self, run, holder, fencing):
        self.holder = holder
        seen = len(run.decisions_of(holder))
        run.publish_next(self.placements_changed)
        self.wait_for_decisions(run, holder, seen, 2)
        run.pause_polling(holder)
        run.fleet.entries[holder].kill()
        run.fleet.set_listed(holder, None)
        _, newer = self.wait_for_holder(run, fencing)
        run.taken_over = time.time()
        self.wait_for_orders(run, newer, 1)

    def end(self, run):
        self.wait_for_models(run)
        run.restart_entry(self.holder)


class PlacementHoldersRacing(PlacementFailure):
    """The candidates race for the lease of a dead holder while the store's answers are lost."""

    name = "placement holders racing"
    lost_answers = 6

    def inject(self, run, holder, fencing):
        self.holder = holder
        run.publish_next(self.placements_changed)
        for path in ("/v1/kv/placement", "/v1/leases"):
            run.fleet.order_fault(run.fleet.platform, kind="lost-answer", path=path,
                                  count=self.lost_answers)
        run.pause_polling(holder)
        run.fleet.entries[holder].kill()
        run.fleet.set_listed(holder, None)
        _, newer = self.wait_for_holder(run, fencing)
        run.taken_over = time.time()
        self.check_one_holder(run)

    def check_one_holder(self, run):
        for _ in range(20):
            statuses = {name: run.fleet.status(name).get("placement", {})
                        for name, entry in run.fleet.entries.items() if entry.is_running()}
            numbers = [it["fencing"] for it in statuses.values() if it.get("holder")]
            if len(numbers) != len(set(numbers)):
                run.fail("placement", f"two holders with the same fencing token: {numbers}")
            time.sleep(0.1)

    def end(self, run):
        self.wait_for_models(run)
        run.fleet.clear_faults(run.fleet.platform)
        run.restart_entry(self.holder)
