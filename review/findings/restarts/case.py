"""A prompt part crashes each replica that begins to write an answer on it. All gateways are killed
twice meanwhile, and forget what they know about the part."""

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1] / "common"))

import harness  # noqa: E402

GATEWAYS = 3
REPLICAS = 6
DOWN_S = 3.0           # "the replica is back after some seconds"
FIRST_EVENT_S = 0.06
EVENTS = 8
GAP_S = 0.1
ROUNDS = 3             # all gateways are killed between two rounds
RESTART_S = 0.5        # "restarted after a short delay"
TAINTED_PAUSE_S = 3.5  # between two requests with the part
TAINTED_PER_ROUND = 5
SOUND_PAUSE_S = 0.25
FIRST_PART = "5c1e07a2:60"
DEADLY_PART = "91bd3f06:200"
CONTACT_S = harness.BOUNDS["contact_ms"] / 1000
ALLOWED = 3

arrived = []      # ids of the requests that reached a replica
crash_times = []


async def handler(arrival):
    arrived.append(arrival.id)
    if DEADLY_PART in harness.find_header(arrival.headers, "Almondline-Prompt-Prefix"):
        await asyncio.sleep(FIRST_EVENT_S)
        crash_times.append(asyncio.get_running_loop().time())
        arrival.replica.crash(DOWN_S, arrival.id)
        await asyncio.sleep(1)  # cancelled by the crash
    await arrival.stream(EVENTS, FIRST_EVENT_S, GAP_S)
    return True


async def send(fleet, record, attempt, parts, sent_by):
    gateway = random.choice(fleet.gateways)
    sent_by[attempt] = gateway
    channel = harness.Channel(gateway.front)
    record.add("client", "sent", id=attempt, gateway=gateway.name)
    status = None
    try:
        await channel.open()
        await channel.send(harness.request_head(
            "POST", "/check/card", attempt, deadline_ms=4000,
            headers=[("Content-Length", "5"), ("Almondline-Model", "m"),
                     ("Almondline-Token-Usage", "543,32"),
                     ("Almondline-Prompt-Prefix", ",".join(parts))]) + b"hello")
        answer = await channel.read_answer()
        status = answer.status if answer else "cut"
    except OSError as error:
        status = type(error).__name__
    finally:
        channel.close()
    record.add("client", "got", id=attempt, status=status)


async def kill_all(fleet, record):
    for it in fleet.gateways:
        it.kill()
        record.add("platform", "killed", gateway=it.name)
    for it in fleet.gateways:
        await it.process.wait()
    await asyncio.sleep(RESTART_S)
    for it in fleet.gateways:
        await it.start()


async def case(fleet, record, has_trouble):
    state = harness.desired_state(
        [harness.route("check", "almond-pool", "stream", timeout_ms=4000)], ["almond-pool"])
    replicas = [harness.Replica(f"i-{n}", "almond-pool", record) for n in range(REPLICAS)]
    for it in replicas:
        it.handler = handler
    await fleet.start(state, replicas, gateways=GATEWAYS)
    loop = asyncio.get_running_loop()
    sent_by = {}
    tasks = []
    is_over = False

    def start(attempt, parts):
        own = f"{random.getrandbits(32):08x}:283"
        tasks.append(asyncio.create_task(send(fleet, record, attempt, [*parts, own], sent_by)))

    async def sound_requests():
        n = 0
        while not is_over:
            n += 1
            start(f"sound-{n}", [FIRST_PART])
            await asyncio.sleep(SOUND_PAUSE_S)

    sound = asyncio.create_task(sound_requests())
    started_at = loop.time()
    touch_from = started_at + CONTACT_S
    sent_in_touch = {}
    for n in range(ROUNDS):
        await asyncio.sleep(max(0, touch_from + 0.5 - loop.time()))
        for i in range(TAINTED_PER_ROUND if has_trouble else 0):
            attempt = f"tainted-{n}-{i}"
            sent_in_touch[attempt] = loop.time()
            start(attempt, [FIRST_PART, DEADLY_PART])
            await asyncio.sleep(TAINTED_PAUSE_S)
        if not has_trouble:
            await asyncio.sleep(TAINTED_PAUSE_S * TAINTED_PER_ROUND)
        if n < ROUNDS - 1:
            await kill_all(fleet, record)
            touch_from = loop.time() + CONTACT_S
    is_over = True
    await sound
    await asyncio.gather(*tasks)
    if len([it for it in sent_by if it.startswith("sound")]) < 50:
        raise harness.CouldNotRun("too few requests")
    late = []
    if len(crash_times) >= 5:
        counted_from = crash_times[4] + CONTACT_S
        late = [it for it in arrived if sent_in_touch.get(it, 0) > counted_from]
    record.add("judge", "BUDGET", crashes=len(crash_times), after_the_fifth=len(late),
               ids=",".join(late))
    return len(late) > ALLOWED


if __name__ == "__main__":
    harness.main(case, FOLDER)
