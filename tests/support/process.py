"""Starts and stops single processes. Only those started here are signalled, by their id."""

import itertools
import os
import signal
import socket
import subprocess
import time
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parents[2]


def program(name, preset=None):
    preset = preset or os.environ.get("ALMONDLINE_PRESET", "release")
    directory = os.environ.get("ALMONDLINE_BIN") or REPOSITORY / "build" / preset / "bin"
    return str(Path(directory) / name)


# Ports below the ephemeral range of Linux (32768 and up). A port from that range may be taken by an
# outgoing connection before the process under test listens on it.
FIRST_PORT = 10_000
PORTS_PER_TEST = 1_000
TEST_RANGES = 22


def own_ports():
    """Yields the ports of this test process again and again. Tests that run at the same time have
    process ids that are close to each other, and so different ports."""
    first = FIRST_PORT + os.getpid() % TEST_RANGES * PORTS_PER_TEST
    return itertools.cycle(range(first, first + PORTS_PER_TEST))


PORTS = own_ports()


def find_free_port():
    for port in itertools.islice(PORTS, PORTS_PER_TEST):
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise StartError("all ports of this test are in use")


class StartError(Exception):
    """A process ended or was not ready in time."""


class Process:
    def __init__(self, name, arguments, log_directory):
        self.name = name
        self.arguments = arguments
        self.log_path = Path(log_directory) / f"{name}.log"
        self.out_path = Path(log_directory) / f"{name}.out"
        self.child = None
        self.address = ""

    def start(self):
        with open(self.log_path, "ab") as log, open(self.out_path, "wb") as out:
            # Runs in its own session: Ctrl-C reaches only the driver, which then stops the rest.
            self.child = subprocess.Popen(
                self.arguments, stdout=out, stderr=log, stdin=subprocess.DEVNULL,
                start_new_session=True)

    def is_running(self):
        return self.child is not None and self.child.poll() is None

    def memory(self):
        """Resident bytes, 0 if the process has ended."""
        try:
            pages = int(Path(f"/proc/{self.child.pid}/statm").read_text().split()[1])
        except (FileNotFoundError, ProcessLookupError, IndexError):
            return 0
        return pages * os.sysconf("SC_PAGE_SIZE")

    def wait_until(self, is_ready, seconds=15.0):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if not self.is_running():
                code = self.child.returncode
                raise StartError(f"{self.name} ended with {code}: {self.log_end()}")
            value = is_ready()
            if value:
                return value
            time.sleep(0.02)
        raise StartError(f"{self.name} is not ready after {seconds} s: {self.log_end()}")

    def wait_for_address(self):
        """Waits for the line "listening IP:PORT" of a stand-in."""

        def read_address():
            words = self.out_path.read_text().split()
            return words[1] if len(words) >= 2 else ""

        self.address = self.wait_until(read_address)
        return self.address

    def log_end(self, n=3):
        if not self.log_path.exists():
            return ""
        return " | ".join(self.log_path.read_text(errors="replace").splitlines()[-n:])

    def signal(self, number):
        if self.is_running():
            os.kill(self.child.pid, number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.wait(5)

    def wait(self, seconds):
        """Returns the exit code, or None if the process still runs."""
        if self.child is None:
            return None
        try:
            return self.child.wait(seconds)
        except subprocess.TimeoutExpired:
            return None

    def stop(self, seconds=5.0):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        if self.wait(seconds) is None:
            self.kill()
