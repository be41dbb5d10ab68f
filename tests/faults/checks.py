"""Checks of one run against the invariants of docs/design.md.

Each check returns the violations that it found, as texts. A check must never report what has
another explanation, so the checks that depend on times leave a margin.
"""

from collections import defaultdict

# A backend server may receive new work until 3 s after a source reports it as leaving.
LEAVING_LIMIT_S = 3.0
MANIFEST_LIMIT_S = 5.0
# Time that a credit request takes to reach the granter, where it waits.
CREDIT_REQUEST_MARGIN_S = 0.1
# Longest interval at which the driver polls the versions in force.
POLL_MARGIN_S = 0.5
# Engine journals record times in whole milliseconds.
ORDER_MARGIN_S = 0.002
# Share of the time limit after which a refusal leaves the caller no time for another attempt.
LATE_REFUSAL_SHARE = 0.8
# Codes of refusals that drop a request to make room.
SHED_CODES = {"shed"}


def _total_by(lines, key, value):
    totals = defaultdict(int)
    for it in lines:
        totals[key(it)] += value(it)
    return totals


def dispatched_twice(seen):
    """Counts by content, because a second dispatch may have another request id."""
    totals = _total_by(seen.journal, lambda it: it.digest, lambda it: it.dispatched)
    return [f"content {digest[:12]} was dispatched {n} times"
            for digest, n in totals.items() if n > 1]


def ran_twice(seen):
    totals = _total_by(seen.journal, lambda it: it.digest, lambda it: it.ran)
    return [f"content {digest[:12]} ran {n} times" for digest, n in totals.items() if n > 1]


def false_refusals(seen):
    """A refusal is about its own attempt: with an idempotency key, an earlier one may have run."""
    ran = _total_by(seen.journal, lambda it: it.digest, lambda it: it.ran)
    ran_id = _total_by(seen.journal, lambda it: it.request_id, lambda it: it.ran)
    found = []
    for it in seen.calls:
        did_run = ran_id[it.request_id] if it.is_retry else ran[it.digest]
        if it.verdict == "not-run" and did_run:
            found.append(f"call {it.number}: not-run ({it.code}), but it ran")
    return found


def lost_answers(seen):
    """Calls that got neither an answer nor an error, or an answer without a run in a journal."""
    ran = _total_by(seen.journal, lambda it: it.digest, lambda it: it.ran)
    found = [f"call {it.number}: no answer and no error until the caller timed out"
             for it in seen.calls if it.ended == 0]
    found += [f"call {it.number}: answered, but no journal shows a run"
              for it in seen.calls if it.is_answered and ran[it.digest] == 0]
    return found


def mixed_answers(seen):
    """Answers, also partial ones, that are not a prefix of the expected answer."""
    return [f"call {it.number}: the answer is not its own"
            for it in seen.calls
            if it.status == 200 and not it.expected.startswith(it.answer)]


def truncated_answers(seen):
    """Truncated answers for which nothing reports an error."""
    found = []
    for it in seen.calls:
        is_whole = it.answer == it.expected and it.has_end_mark
        is_reported = bool(it.error) or it.has_error or not it.is_complete
        if it.status == 200 and not is_whole and not is_reported:
            found.append(f"call {it.number}: truncated without an error")
    return found


def shedding_inversions(seen):
    """Requests that were shed although one of a lower tier was certainly waiting all that time.

    The lower one was sent before the shed request was, and dispatched after the shed request was
    answered."""
    arrived = {}
    for line in seen.journal:
        if line.arrived:
            arrived[line.digest] = max(arrived.get(line.digest, 0), max(line.arrived))
    found = []
    for shed in seen.calls:
        if shed.code not in SHED_CODES or shed.ended == 0:
            continue
        for low in seen.calls:
            is_lower = low.service == shed.service and low.tier > shed.tier
            waited = (low.sent + CREDIT_REQUEST_MARGIN_S < shed.sent
                      and arrived.get(low.digest, 0) > shed.ended + CREDIT_REQUEST_MARGIN_S)
            if is_lower and waited:
                found.append(f"call {shed.number} of tier {shed.tier} was shed while call "
                             f"{low.number} of tier {low.tier} waited")
                break
    return found


def manifest_reversions(seen):
    highest = {}
    found = []
    for it in sorted(seen.versions, key=lambda it: it.at):
        key = (it.entry, it.incarnation)
        if it.version < highest.get(key, 0):
            found.append(f"{it.entry} went from version {highest[key]} to {it.version}")
        highest[key] = max(highest.get(key, 0), it.version)
    return found


def late_manifests(seen):
    """Entries that still report an older version 5 s after the publication."""
    found = []
    for publication in seen.publications:
        due = publication.at + MANIFEST_LIMIT_S + POLL_MARGIN_S
        found += [f"{it.entry} had version {it.version} {it.at - publication.at:.1f} s after "
                  f"version {publication.version} was published"
                  for it in seen.versions if it.at > due and it.version < publication.version]
    return found


def work_after_leaving(seen):
    found = []
    for leaving in seen.leaving:
        due = leaving.since + LEAVING_LIMIT_S
        for line in seen.journal:
            late = [t for t in line.arrived if due < t < leaving.until]
            if line.backend == leaving.backend and late:
                found.append(f"{line.backend} got new work {max(late) - leaving.since:.1f} s after "
                             "it was leaving")
    return found


def interrupted_by_stop(seen):
    """Calls in progress at an entry when its stop began that got neither their answer nor a
    refusal."""
    found = []
    for stop in seen.stops:
        for it in seen.calls:
            was_there = it.entry == stop.entry and it.is_connected and it.sent < stop.at
            is_over = it.ended != 0 and it.ended < stop.at
            is_interrupted = it.status == 0 or (it.status == 200 and not it.is_answered)
            if was_there and not is_over and is_interrupted:
                found.append(f"call {it.number} was interrupted by the stop of {stop.entry}")
    return found


def refusals_without_retry_after(seen):
    """Only 429 and 503 need the header: other refusals report an error in the request."""
    return [f"call {it.number}: refused with {it.status} {it.code} without Retry-After"
            for it in seen.calls
            if it.verdict == "not-run" and it.status in (429, 503) and not it.retry_after]


def late_refusals(seen):
    """Refusals that came when the caller's time limit had nearly passed."""
    return [f"call {it.number}: refused with {it.code} after {it.ended - it.sent:.1f} s"
            for it in seen.calls
            if it.verdict == "not-run"
            and it.ended - it.sent > LATE_REFUSAL_SHARE * it.time_limit]


def orders_of_older_holders(seen):
    """Orders that took effect after an order of a newer holder, on the same engine or another."""
    found = []
    highest = defaultdict(int)
    first_taken = {}
    taken = [it for it in seen.orders if it.is_taken]
    for it in taken:
        first_taken[it.fencing] = min(first_taken.get(it.fencing, it.at), it.at)
    for it in taken:
        if it.fencing < highest[it.engine]:
            found.append(f"{it.engine} took {it.kind} {it.target} of holder {it.fencing} after one "
                         f"of holder {highest[it.engine]}")
        highest[it.engine] = max(highest[it.engine], it.fencing)
        newer = [number for number, at in first_taken.items()
                 if number > it.fencing and it.at > at + ORDER_MARGIN_S]
        if newer:
            found.append(f"{it.engine} took {it.kind} {it.target} of holder {it.fencing} after "
                         f"holder {newer[0]} had sent orders to engines")
    return found


def interrupted_by_unload(seen):
    return [f"{it.engine} unloaded {it.target} with {it.interrupted} requests in progress"
            for it in seen.orders if it.is_taken and it.interrupted > 0]


CHECKS = {
    "dispatched twice": dispatched_twice,
    "ran twice": ran_twice,
    "false refusals": false_refusals,
    "answers lost": lost_answers,
    "answers mixed": mixed_answers,
    "answers cut": truncated_answers,
    "shedding inversions": shedding_inversions,
    "manifest reversions": manifest_reversions,
    "manifests late": late_manifests,
    "work after leaving": work_after_leaving,
    "interrupted by stop": interrupted_by_stop,
    "orders of older holders": orders_of_older_holders,
    "interrupted by unload": interrupted_by_unload,
    "refusals without Retry-After": refusals_without_retry_after,
    "refusals late": late_refusals,
}


def run_checks(seen):
    """Violations by the name of the check, without the checks that found none."""
    found = {name: check(seen) for name, check in CHECKS.items()}
    return {name: violations for name, violations in found.items() if violations}
