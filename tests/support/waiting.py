"""Waits for conditions in tests of real processes."""

import time


def wait_until(condition, seconds=5):
    """Returns True as soon as the condition holds, False after the time has passed."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(0.05)
    return False
