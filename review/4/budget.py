"""The same fault as in case.py, seen at the replicas: the deadly part goes on to crash them, since each
quarantine of an innocent part removes the crashes that were counted against it."""

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import harness  # noqa: E402

GATEWAYS = 6
REPLICAS = 3
DOWN_S = 3.0                  # "the replica is back after some seconds"
SOUND_FIRST_EVENT_S = 0.25    # within the aim of 300 ms
TAINTED_FIRST_EVENT_S = 0.06
EVENTS = 16
GAP_S = 0.2                   # a sound stream lasts 3.3 s
GROUP = 12                    # users that come at once with prompts of one kind
ROUNDS = 6                    # kinds of prompt, each with a first part of its own
ROUND_S = 9.0
TAINTED_AT_S = (0.0, 1.1, 2.2)
DEADLY_PART = "91bd3f06:200"
CONTACT_S = harness.BOUNDS["contact_ms"] / 1000
ALLOWED = 3

arrived = []      # ids of the requests that reached a replica
crash_times = []


async def handler(arrival):
    arrived.append(arrival.id)
    if DEADLY_PART in harness.find_header(arrival.headers, "Almondline-Prompt-Prefix"):
        await asyncio.sleep(TAINTED_FIRST_EVENT_S)
        crash_times.append(asyncio.get_running_loop().time())
        arrival.replica.crash(DOWN_S, arrival.id)
        await asyncio.sleep(1)  # cancelled by the crash
    await arrival.stream(EVENTS, SOUND_FIRST_EVENT_S, GAP_S)
    return True


async def send(fleet, record, attempt, parts):
    gateway = random.choice(fleet.gateways)
    channel = harness.Channel(gateway.front)
    record.add("client", "sent", id=attempt, gateway=gateway.name, prefix=",".join(parts))
    status = None
    try:
        await channel.open()
        await channel.send(harness.request_head(
            "POST", "/hint/words", attempt, deadline_ms=15000,
            headers=[("Content-Length", "5"), ("Almondline-Model", "m"),
                     ("Almondline-Token-Usage", "543,64"),
                     ("Almondline-Prompt-Prefix", ",".join(parts))]) + b"hello")
        answer = await channel.read_answer()
        status = answer.status if answer else "cut"
    except OSError as error:
        status = type(error).__name__
    finally:
        channel.close()
    record.add("client", "got", id=attempt, status=status)


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
    tasks = []
    sent_at = {}

    def start(kind, first_part):
        attempt = f"{kind}-{len(sent_at)}"
        sent_at[attempt] = loop.time()
        parts = [f"{first_part}:60", *([DEADLY_PART] if kind == "tainted" else []),
                 f"{random.getrandbits(32):08x}:283"]
        tasks.append(asyncio.create_task(send(fleet, record, attempt, parts)))

    for n in range(ROUNDS):
        first_part = f"5c1e07a{n}"
        for at in TAINTED_AT_S:
            await asyncio.sleep(max(0, started + n * ROUND_S + at - loop.time()))
            for _ in range(GROUP):
                start("sound", first_part)
            if has_trouble:
                start("tainted", first_part)
    await asyncio.gather(*tasks)
    late = []
    if len(crash_times) >= 5:
        counted_from = sorted(crash_times)[4] + CONTACT_S
        late = [it for it in arrived if it.startswith("tainted") and sent_at[it] > counted_from]
    served = len({id for it in replicas for id in it.runs})
    record.add("judge", "BUDGET", crashes=len(crash_times), after_the_fifth=len(late),
               began=served, sent=len(sent_at), ids=",".join(late))
    return len(late) > ALLOWED


if __name__ == "__main__":
    harness.main(case, FOLDER, "record-budget.txt")
