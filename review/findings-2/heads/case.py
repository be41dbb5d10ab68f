"""Heads of legal size with very many short lines fill the memory of a process."""

import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parents[1] / "support-2"))

from memory_case import TROUBLE, head, open_channel, run  # noqa: E402

CLIENTS = 360              # of the 4,100 descriptors of a machine
MAX_HEADER_BYTES = 16384   # max_header_bytes of the desired state
SHORT_LINES = 4000
CLIENTS_PER_STEP = 20
STEP = 0.05


def make_sender(fleet, record):
    def request():
        if TROUBLE:
            out = head(fleet, "Content-Length: 5", "b:\r\n" * SHORT_LINES)
        else:
            out = head(fleet, "Content-Length: 5", "X-Note: " + "a" * (4 * SHORT_LINES) + "\r\n")
        assert len(out) <= MAX_HEADER_BYTES, len(out)
        return out

    def send(gateway, is_done):
        """Each client sends one head. The bodies, of five bytes each, follow 5 s later."""
        channels = []
        try:
            while len(channels) < CLIENTS and not is_done():
                for _ in range(CLIENTS_PER_STEP):
                    channels.append(open_channel(gateway))
                    channels[-1].sendall(request())
                time.sleep(STEP)
            record(f"uncontrolled -> {gateway.name} {len(channels)} heads")
            until = time.monotonic() + 5
            while not is_done() and time.monotonic() < until:
                time.sleep(0.05)
            for it in channels:
                it.sendall(b"hello")
            answers = {}
            for it in channels:
                answer = it.recv(4096).split(b"\r\n", 1)[0].decode(errors="replace")
                answers[answer] = answers.get(answer, 0) + 1
            record(f"uncontrolled <- {gateway.name} {answers}")
        except OSError as error:
            record(f"uncontrolled: {error!r} after {len(channels)} heads")
        finally:
            for it in channels:
                it.close()

    return send


if __name__ == "__main__":
    sys.exit(run(HERE, make_sender))
