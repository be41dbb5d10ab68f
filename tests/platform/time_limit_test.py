"""Tests that the log names the time limit as the end of a request, not a failure of its server."""

import re
import sys
import threading
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from gateway_fleet import GatewayFleet  # noqa: E402
from support.waiting import wait_until  # noqa: E402

CALLERS = 10


class TimeLimitTest(unittest.TestCase):
    def test_log_names_the_time_limit_of_a_cut_stream(self):
        # The timeout of the read fired together with the limit, and the log said "broken".
        with GatewayFleet(1) as fleet:
            def hang(handler):
                handler.start_stream()
                handler.write_chunk(b"id: 1\ndata: piece 1\n\n")
                return handler.wait_for_disconnect(8)

            for it in fleet.replicas.values():
                it.behaviour = hang

            def call():
                try:
                    fleet.request("/stream/1", deadline_ms=700)
                except Exception:  # noqa: BLE001  the stream is cut
                    pass

            callers = [threading.Thread(target=call) for _ in range(CALLERS)]
            for it in callers:
                it.start()
            for it in callers:
                it.join()
            log = fleet.gateways[0].process.out_path
            self.assertTrue(wait_until(
                lambda: log.read_text().count("event=answer ") == CALLERS, 2))
            ends = re.findall(r"event=answer .* code=(\S+) .* end=(\S+) cause=(\"[^\"]*\"|\S*)",
                              log.read_text())
            self.assertEqual(set(ends), {
                ("cut", "stopped", '"the time of the route or of the caller is up"')})


if __name__ == "__main__":
    unittest.main()
