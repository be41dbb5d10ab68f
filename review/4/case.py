"""A prompt part crashes each replica that begins to write an answer on it. Sound requests that share
their first part with it wait at the same replicas."""

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import harness  # noqa: E402

GATEWAYS = 6
REPLICAS = 3
DOWN_S = 3.0          # "the replica is back after some seconds"
SOUND_FIRST_EVENT_S = 0.25   # within the aim of 300 ms
TAINTED_FIRST_EVENT_S = 0.06
EVENTS = 16
GAP_S = 0.2           # a sound stream lasts 3.3 s
GROUP = 12            # users that come at once
PAUSE_S = 4.0         # between two groups of sound requests
OUTSIDE_S = 24
INSIDE_S = 44
FIRST_TAINTED_S = (0.0, 1.1, 2.2)
TAINTED_PAUSE_S = 2.5
FIRST_PART = "5c1e07a2:60"
DEADLY_PART = "91bd3f06:200"
CONTACT_S = harness.BOUNDS["contact_ms"] / 1000


def handler(arrival):
    async def run():
        parts = harness.find_header(arrival.headers, "Almondline-Prompt-Prefix")
        if DEADLY_PART in parts:
            await asyncio.sleep(TAINTED_FIRST_EVENT_S)
            arrival.replica.crash(DOWN_S, arrival.id)
            await asyncio.sleep(1)  # cancelled by the crash
        await arrival.stream(EVENTS, SOUND_FIRST_EVENT_S, GAP_S)
        return True
    return run()


async def send(fleet, record, attempt, parts, answers):
    gateway = random.choice(fleet.gateways)
    channel = harness.Channel(gateway.front)
    record.add("client", "sent", id=attempt, gateway=gateway.name, prefix=",".join(parts))
    answers[attempt] = None
    try:
        await channel.open()
        await channel.send(harness.request_head(
            "POST", "/hint/words", attempt, deadline_ms=15000,
            headers=[("Content-Length", "5"), ("Almondline-Model", "m"),
                     ("Almondline-Token-Usage", "543,48"),
                     ("Almondline-Prompt-Prefix", ",".join(parts))]) + b"hello")
        answer = await channel.read_answer()
        answers[attempt] = answer.status if answer else "cut"
        retry_after = answer.header("Retry-After") if answer else ""
        record.add("client", "got", id=attempt, status=answers[attempt], retry_after=retry_after)
    except OSError as error:
        record.add("client", "got", id=attempt, status=type(error).__name__)
    finally:
        channel.close()


async def case(fleet, record, has_trouble):
    state = harness.desired_state(
        [harness.route("hint", "almond-pool", "stream", timeout_ms=15000, target_latency_ms=300)],
        ["almond-pool"])
    replicas = [harness.Replica(f"i-{n}", "almond-pool", record, capacity=24)
                for n in range(REPLICAS)]
    for it in replicas:
        it.handler = handler
    await fleet.start(state, replicas, gateways=GATEWAYS)
    await asyncio.sleep(CONTACT_S)
    loop = asyncio.get_running_loop()
    started = loop.time()
    answers = {}
    tasks = []
    sent_at = {}
    count = 0

    def start(kind, parts):
        nonlocal count
        count += 1
        attempt = f"{kind}-{count}"
        sent_at[attempt] = loop.time() - started
        own = f"{random.getrandbits(32):08x}:283"
        tasks.append(asyncio.create_task(
            send(fleet, record, attempt, [*parts, own], answers)))

    async def sound_requests():
        while loop.time() - started < OUTSIDE_S + INSIDE_S:
            for _ in range(GROUP):
                start("sound", [FIRST_PART])
            await asyncio.sleep(PAUSE_S)

    async def tainted_requests():
        await asyncio.sleep(OUTSIDE_S)
        for at in FIRST_TAINTED_S:
            await asyncio.sleep(max(0, started + OUTSIDE_S + at - loop.time()))
            for _ in range(GROUP if at else 0):
                start("sound", [FIRST_PART])
            start("tainted", [FIRST_PART, DEADLY_PART])
        while loop.time() - started < OUTSIDE_S + INSIDE_S:
            await asyncio.sleep(TAINTED_PAUSE_S)
            start("tainted", [FIRST_PART, DEADLY_PART])

    await asyncio.gather(sound_requests(), *([tainted_requests()] if has_trouble else []))
    await asyncio.gather(*tasks)
    ran = {id for it in replicas for id in it.runs}
    last_crash = OUTSIDE_S + FIRST_TAINTED_S[-1] + TAINTED_FIRST_EVENT_S
    crashes = sum(it.crashes for it in replicas)
    outside = [it for it, at in sent_at.items() if it.startswith("sound") and at < OUTSIDE_S - 1]
    inside = [it for it, at in sent_at.items() if it.startswith("sound")
              and at > last_crash + 2 * CONTACT_S]
    if len(outside) < 20 or len(inside) < 20:
        raise harness.CouldNotRun("fewer than 20 sound requests")
    share_outside = sum(it in ran for it in outside) / len(outside)
    share_inside = sum(it in ran for it in inside) / len(inside)
    record.add("judge", "LOST", crashes=crashes, outside=len(outside), inside=len(inside),
               began_outside=f"{share_outside:.2f}", began_inside=f"{share_inside:.2f}")
    return share_inside < share_outside / 2


if __name__ == "__main__":
    harness.main(case, FOLDER)
