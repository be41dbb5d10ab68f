"""Contract of the gateway with the users' platform, against stand-ins, on real processes."""

import sys
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from gateway_fleet import GatewayFleet  # noqa: E402


class ContractTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = GatewayFleet(2).__enter__()

    @classmethod
    def tearDownClass(cls):
        cls.fleet.__exit__()

    def test_plain_request_reaches_one_replica_and_returns_unchanged(self):
        response = self.fleet.request("/order/1?x=2")
        self.assertEqual(response.status, 200)
        self.assertEqual(response.body, b"ran hello")
        self.assertIn("seal-desk", response.headers["Almondline-Server-Seal"])

    def test_stream_passes_whole(self):
        response = self.fleet.request("/stream/1")
        self.assertEqual(response.status, 200)
        self.assertEqual(response.body.count(b"\n\n"), 3)


if __name__ == "__main__":
    unittest.main()
