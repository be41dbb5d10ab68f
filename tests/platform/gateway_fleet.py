"""Gateways on loopback with stand-ins for the platform's store and replicas."""

import http.client
import json
import shutil
import tempfile
import time
import unittest
from pathlib import Path

from platform_standins import metadata_store, replica
from support.process import Process, find_free_port, program

HOST = "shop.example"
KEY = "first-key"
SETTINGS = """[gateway]
instance_name = {name}
failure_domain = {domain}
listen = 127.0.0.1:{front}
health_listen = 127.0.0.1:{health}
directory_listen = 127.0.0.1:{directory}
metrics_listen = 127.0.0.1:{metrics}
peer_listen = 127.0.0.1:{peer}
stop_limit = {stop_limit}
memory_mb = 110

[store]
address = 127.0.0.1:{store}

[retries]
extra = {retries}
"""


def route(prefix, service, kind="non_idempotent", **fields):
    return {"name": prefix.strip("/"), "hostname": HOST, "prefix": prefix, "kind": kind,
            "timeout_ms": 2000, "target_latency_ms": 200, "priority": 0, "service": service,
            "max_attempts": 1, "public": False, "resumable": False, "target_gap_ms": 200} | fields


def desired_state(version=1, routes=None, **fields):
    state = {
        "version": version,
        "routes": routes or [
            route("/order/", "desk"),
            route("/look/", "desk", "idempotent", max_attempts=2),
            route("/stream/", "pool", "stream"),
            route("/resume-stream/", "pool", "stream", resumable=True, max_attempts=2),
            route("/open/", "desk", public=True),
        ],
        "services": [
            {"name": "desk", "health_path": "/health", "max_connections": 96},
            {"name": "pool", "health_path": "/health", "max_connections": 360,
             "engine": {"capacity": 7, "kv_capacity": 200000, "stride": 4,
                        "models": [{"name": "m"}]}},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "first", "api_keys": [KEY], "priority": 1, "unit": "tokens",
                     "plain_tokens": 200, "rate_per_s": 0, "burst": 0}],
    }
    return state | fields


class Response:
    def __init__(self, raw, body):
        self.status = raw.status
        self.headers = raw.headers
        self.body = body


class Gateway:
    def __init__(self, fleet, name, domain):
        self.name = name
        self.store = metadata_store.StoreAccess(fleet.store)
        store_port = find_free_port()
        fleet.servers.append(metadata_store.serve(self.store, store_port))
        self.ports = {it: find_free_port()
                      for it in ["front", "health", "directory", "metrics", "peer"]}
        path = Path(fleet.directory) / f"{name}.ini"
        path.write_text(SETTINGS.format(name=name, domain=domain, store=store_port,
                                        stop_limit=fleet.stop_limit, retries=fleet.retries,
                                        **self.ports))
        self.process = Process(name, [program("almondline-gateway"), "--config", str(path)],
                               fleet.directory)
        self.process.start()

    def call(self, port, method, path, body=None, headers=None, timeout=5):
        connection = http.client.HTTPConnection("127.0.0.1", self.ports[port], timeout=timeout)
        try:
            connection.request(method, path, body, headers or {})
            raw = connection.getresponse()
            return Response(raw, raw.read())
        finally:
            connection.close()

    def is_ready(self):
        try:
            return self.call("health", "GET", "/almondline/ready").status == 200
        except OSError:
            return False


class FleetTest(unittest.TestCase):
    """Base of tests that share a fleet. Replicas are reset after each test."""

    gateways = 1
    retries = 20  # beyond the share of the requests, in a window of 10 s

    @classmethod
    def setUpClass(cls):
        cls.fleet = GatewayFleet(cls.gateways, retries=cls.retries).__enter__()

    @classmethod
    def tearDownClass(cls):
        cls.fleet.__exit__()

    def tearDown(self):
        for it in self.fleet.replicas.values():
            it.behaviour = lambda handler: None
            it.early_behaviour = lambda handler: None
            it.events = 3


class GatewayFleet:
    """A store, two replicas of each service, and gateways. Stops everything that it started."""

    def __init__(self, gateways=1, stop_limit="8s", retries=20, prepare=lambda fleet: None):
        """Calls `prepare` before the gateways start."""
        self.stop_limit = stop_limit
        self.retries = retries
        self.directory = tempfile.mkdtemp(prefix="almondline-")
        self.store = metadata_store.Store()
        self.servers = []
        self.replicas = {}
        self.attempts = 0
        self.store.put("op/config", json.dumps(desired_state()))
        for service in ["desk", "pool"]:
            for n in range(2):
                self.add_replica(f"{service}-{n}", service)
        prepare(self)
        self.gateways = [Gateway(self, f"gateway-{n}", f"domain-{n % 3}") for n in range(gateways)]

    def __enter__(self):
        deadline = time.monotonic() + 10
        for it in self.gateways:
            while not it.is_ready():
                if time.monotonic() > deadline or not it.process.is_running():
                    raise RuntimeError(f"{it.name} is not ready: {it.process.log_end(20)}")
                time.sleep(0.05)
        return self

    def __exit__(self, *_details):
        for it in self.gateways:
            it.process.kill()
        for it in self.servers:
            it.shutdown()
            it.server_close()
        shutil.rmtree(self.directory)

    def add_replica(self, replica_id, service):
        it = replica.Replica(replica_id)
        port = find_free_port()
        self.servers.append(replica.serve(it, port))
        self.replicas[replica_id] = it
        it.record = {"service": service, "address": f"127.0.0.1:{port}", "zone": "domain-0",
                     "version": "v1", "capacity": 7, "state": "ready", "cold_remaining_ms": 0,
                     "sequence": 1, "born": 1}
        self.announce(replica_id)

    def announce(self, replica_id, **fields):
        self.replicas[replica_id].record |= fields
        self.store.put(f"servers/{replica_id}", json.dumps(self.replicas[replica_id].record))

    def request_fields(self, key=KEY, deadline_ms=1500):
        self.attempts += 1
        fields = {"Host": HOST, "Almondline-Attempt-Id": f"attempt-{self.attempts}",
                  "Almondline-Deadline-Ms": str(deadline_ms)}
        if key:
            fields["Authorization"] = f"Bearer {key}"
        return fields

    def request(self, path, method="POST", body=b"hello", key=KEY, gateway=0, headers=None,
                deadline_ms=1500, timeout=5):
        fields = self.request_fields(key, deadline_ms) | (headers or {})
        return self.gateways[gateway].call("front", method, path, body, fields, timeout)

    def runs(self, service):
        return [run for name, it in self.replicas.items() if name.startswith(service)
                for run in it.runs]
