"""Plays clients that nobody controls against two of three gateways, while the platform ends each
process that exceeds the memory of its machine and starts it again."""

import os
import signal
import socket
import threading
import time

from case_fleet import CannotRun, Fleet, HOST, KEY, Record, desired_state, route

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MEMORY_MB = 110            # memory_mb of the machines of Shelfmark
ATTACKED = 2               # machines; "two at least"
ENDS = 3                   # "three times in the day"
RESTART_AFTER = 0.5
CALL_INTERVAL = 0.2
DEADLINE_MS = 1500
DAY_SECONDS = 60.0


class Platform:
    """Ends a process whose memory is over the limit and starts it again a little later."""

    def __init__(self, fleet, record):
        self.fleet = fleet
        self.record = record
        self.ends = [0] * len(fleet.gateways)
        self.peak_mb = [0.0] * len(fleet.gateways)
        self.is_over = threading.Event()
        self.thread = threading.Thread(target=self.watch)
        self.thread.start()

    def watch(self):
        while not self.is_over.wait(0.02):
            for n, it in enumerate(self.fleet.gateways):
                memory = it.memory_mb()
                self.peak_mb[n] = max(self.peak_mb[n], memory)
                if it.is_running() and memory > MEMORY_MB:
                    self.record(f"{it.name} uses {memory:.0f} MB of {MEMORY_MB} MB: it is killed")
                    it.signal(signal.SIGKILL)
                    it.process.wait()
                elif it.is_running():
                    continue
                self.ends[n] += 1
                self.record(f"{it.name} has ended {self.ends[n]} times")
                time.sleep(RESTART_AFTER)
                it.start()

    def stop(self):
        self.is_over.set()
        self.thread.join()


class Callers:
    """Ordinary callers, who send print jobs to the gateways in turn."""

    def __init__(self, fleet, record):
        self.fleet = fleet
        self.record = record
        self.answers = {}
        self.is_over = threading.Event()
        self.threads = [threading.Thread(target=self.call, args=(n,))
                        for n in range(len(fleet.gateways))]
        for it in self.threads:
            it.start()

    def call(self, number):
        gateway = self.fleet.gateways[number]
        while not self.is_over.wait(CALL_INTERVAL):
            request_id = self.fleet.next_id()
            self.record(f"caller -> {gateway.name} POST /job/1 {request_id}")
            try:
                status = gateway.call(
                    "front", "POST", "/job/1", b"one print job",
                    {"Host": HOST, "Almondline-Attempt-Id": request_id,
                     "Almondline-Deadline-Ms": str(DEADLINE_MS),
                     "Authorization": f"Bearer {KEY}"}, timeout=DEADLINE_MS / 1000)[0]
            except Exception as error:  # no answer in time, or the process has ended
                status = type(error).__name__
            self.record(f"caller <- {gateway.name} {status} {request_id}")
            self.answers[status] = self.answers.get(status, 0) + 1

    def stop(self):
        self.is_over.set()
        for it in self.threads:
            it.join()


def attack(fleet, number, platform, send, is_over):
    """Has the clients begin again whenever the process is back, until it has ended three times."""
    gateway = fleet.gateways[number]
    while not is_over.is_set() and platform.ends[number] < ENDS:
        if not gateway.is_ready():
            is_over.wait(0.1)
            continue
        ends = platform.ends[number]
        send(gateway, lambda: is_over.is_set() or platform.ends[number] != ends)
        is_over.wait(0.2)


def head(fleet, framing, lines=""):
    """The head of a request without a key, for a path that no route has."""
    return (f"POST /nothing/1 HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Almondline-Attempt-Id: {fleet.next_id()}\r\n"
            f"Almondline-Deadline-Ms: {DEADLINE_MS}\r\n{framing}\r\n{lines}\r\n").encode()


def play(record, make_sender):
    routes = [route("/job/", "desk", "non_idempotent")]
    services = [{"name": "desk", "health_path": "/health", "max_connections": 96}]
    with Fleet(desired_state(routes, services), gateways=3, services={"desk": 3},
               memory_mb=MEMORY_MB) as fleet:
        send = make_sender(fleet, record)
        platform = Platform(fleet, record)
        callers = Callers(fleet, record)
        is_over = threading.Event()
        threads = [threading.Thread(target=attack, args=(fleet, n, platform, send, is_over))
                   for n in range(ATTACKED)]
        try:
            time.sleep(2.0)
            if any(platform.ends) or set(callers.answers) - {200}:
                raise CannotRun("the callers were not served before the trouble began")
            for it in threads:
                it.start()
            begin = time.monotonic()
            while (time.monotonic() - begin < (DAY_SECONDS if TROUBLE else DAY_SECONDS / 3)
                   and any(it.is_alive() for it in threads)):
                time.sleep(0.1)
        finally:
            is_over.set()
            for it in threads:
                if it.ident is not None:
                    it.join()
            callers.stop()
            platform.stop()
        lines = [f"ends of processes: {platform.ends}, most memory: "
                 f"{[round(it) for it in platform.peak_mb]} MB of {MEMORY_MB} MB",
                 f"answers to ordinary callers: {callers.answers}"]
        is_broken = sum(it >= ENDS for it in platform.ends) >= ATTACKED
        lines.append("Fault: processes ended three times on two machines" if is_broken
                     else "no fault")
        for it in lines:
            record(it)
            print(it)
        return 1 if is_broken else 0


def run(directory, make_sender):
    record = Record(directory / "record.txt")
    try:
        return play(record, make_sender)
    except CannotRun as error:
        record(f"the case could not run: {error}")
        print(error)
        return 2


def open_channel(gateway):
    channel = socket.create_connection(("127.0.0.1", gateway.ports["front"]), 5)
    channel.settimeout(1)
    return channel



