"""Applies failures to a fleet of real processes under load, and checks the answers.

Prints one row per failure and pair of failures. "detect" is the time from the injection until
another entry removes the failed entry from its address list, until an entry logs a problem with the
backend server, or until the last new work for a leaving one; "-" if none of these apply. "recover"
is the time from the injection until the end of the last call that did not get its answer; requests
shed during a flood are not counted.
"""

import argparse
import json
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from faults import scenarios  # noqa: E402
from faults.checks import CHECKS, run_checks  # noqa: E402
from faults.run import FaultRun  # noqa: E402
from support.fleet import stop_on_signals  # noqa: E402
from support.process import StartError  # noqa: E402

COLUMNS = ["failure", "seed", "calls", "answered", "not run", "unknown", "detect s", "recover s",
           "violations"]
VIOLATIONS_SHOWN = 5


def choose_runs(arguments):
    if arguments.only:
        return [scenarios.find(arguments.only.split("+"))]
    if arguments.short:
        return scenarios.SHORT
    return [(it,) for it in scenarios.SINGLE] + scenarios.PAIRS


def run_row(failures, seed, arguments):
    run = FaultRun(failures, seed, arguments.preset)
    try:
        problems = run.execute()
    except StartError as e:
        row = {"failure": " + ".join(it.name for it in failures), "seed": seed}
        return row, {"start": [str(e)]}
    found = run_checks(run.seen)
    if not run.row["answered"]:
        found["load"] = ["no call was answered, so the run proves nothing"]
    for check, texts in problems.items():
        found.setdefault(check, []).extend(texts)
    return run.row, found


def print_row(row):
    print("| " + " | ".join(str(row.get(it, "")) for it in COLUMNS) + " |", flush=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--short", action="store_true", help="few rows, for CI")
    parser.add_argument("--only", metavar="NAME[+NAME]", help="one failure or pair by name")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--preset", default=os.environ.get("ALMONDLINE_PRESET", "release"))
    parser.add_argument("--json", metavar="FILE", help="also write the rows to this file")
    arguments = parser.parse_args()
    stop_on_signals()
    started = time.monotonic()
    rows = []
    print_row({it: it for it in COLUMNS})
    print_row({it: "---" for it in COLUMNS})
    for i, failures in enumerate(choose_runs(arguments)):
        row, found = run_row(failures, arguments.seed + i, arguments)
        row["violations"] = sum(len(it) for it in found.values())
        rows.append({**row, "found": found})
        print_row(row)
        for check, texts in found.items():
            for text in texts[:VIOLATIONS_SHOWN]:
                print(f"  {check}: {text}", flush=True)
    if arguments.json:
        Path(arguments.json).write_text(json.dumps(rows, indent=2))
    bad = sum(1 for it in rows if it["violations"])
    print(f"{len(rows)} rows, {bad} with violations of {len(CHECKS)} checks, "
          f"{time.monotonic() - started:.0f} s")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
