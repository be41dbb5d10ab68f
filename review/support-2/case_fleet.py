"""A small deployment on loopback for the cases of the second review: gateways started with the
command of deploy/system.toml and the template deploy/gateway.ini, and the project's own stand-ins of
the store and of the replicas."""

import http.client
import itertools
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(REPOSITORY / "tests"))

from platform_standins import metadata_store, replica  # noqa: E402

HOST = "desk.example"
KEY = "key-of-the-first-tenant"
BOUNDS = {"grace_period_s": 8, "retry_budget_ratio": 0.2, "budget_window_s": 10,
          "budget_extra": 52, "quota_slack": 110000, "quota_overage": 0.1, "quota_window_s": 8}


class CannotRun(Exception):
    """The case could not be played; run.sh exits with 2."""


# Below the ephemeral range of Linux (32768 and up), so that no outgoing connection takes a port
# before the process that it is meant for listens there.
PORTS = itertools.cycle(range(10_000, 32_000))
for _ in range(os.getpid() * 131 % 22_000):
    next(PORTS)


def free_port():
    for port in itertools.islice(PORTS, 22_000):
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise CannotRun("no port is free")


def lookup(path, scopes):
    for scope in reversed(scopes):
        value = scope
        for part in path.split("."):
            if isinstance(value, list) and part.isdigit():
                value = value[int(part)] if int(part) < len(value) else None
            elif isinstance(value, dict):
                value = value.get(part)
            else:
                value = None
            if value is None:
                break
        if value is not None:
            return value
    return None


def render(template, settings):
    """Fills in the placeholders and the sections that deploy/gateway.ini uses (DEPLOY.md)."""
    def section(match):
        value = lookup(match[1], [settings])
        return match[2].replace("{{.}}", str(value)) if value is not None else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda it: str(lookup(it[1], [settings])), text)


class Gateway:
    def __init__(self, fleet, name, zone, memory_mb):
        self.name = name
        self.fleet = fleet
        self.store_access = metadata_store.StoreAccess(fleet.store)
        store_port = free_port()
        fleet.servers.append(metadata_store.serve(self.store_access, store_port))
        self.ports = {it: free_port() for it in ["front", "ready", "directory", "peer", "metrics"]}
        addresses = {it: f"127.0.0.1:{self.ports[it]}" for it in ["front", "ready", "directory"]}
        settings = {
            "node_name": name, "zone": zone, "bind_ip": "127.0.0.1", "bind_addrs": addresses,
            "internal_ports": [self.ports["peer"], self.ports["peer"] + 15], "bounds": BOUNDS,
            "limits": {"cpu_share": 0.25, "memory_mb": memory_mb, "max_fds": 4100,
                       "link_mbps": 1000.0},
            "platform": {"address": f"127.0.0.1:{store_port}"}}
        text = render((REPOSITORY / "deploy" / "gateway.ini").read_text(), settings)
        # All processes share one address here, so the port of the metrics can't be the same.
        text = text.replace("127.0.0.1:7601", f"127.0.0.1:{self.ports['metrics']}")
        self.path = Path(fleet.directory) / f"{name}.ini"
        self.path.write_text(text)
        self.log = Path(fleet.directory) / f"{name}.log"
        self.process = None

    def start(self):
        deploy = tomllib.loads((REPOSITORY / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["gateway"]["run"].split()
        command = [str(self.path) if it == "/etc/almondline/local.json" else it for it in command]
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                command, cwd=REPOSITORY, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                env={"PATH": os.environ.get("PATH", ""), "LANG": "C.UTF-8"},
                start_new_session=True)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def memory_mb(self):
        """Resident memory, 0 if the process has ended."""
        try:
            pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        except (OSError, IndexError):
            return 0.0
        return pages * os.sysconf("SC_PAGE_SIZE") / 2**20

    def signal(self, number):
        if self.is_running():
            os.kill(self.process.pid, number)

    def is_ready(self, timeout=1.0):
        try:
            return self.call("ready", "GET", "/almondline/ready", timeout=timeout)[0] == 200
        except (OSError, http.client.HTTPException):
            return False

    def call(self, port, method, path, body=None, headers=None, timeout=5.0):
        connection = http.client.HTTPConnection("127.0.0.1", self.ports[port], timeout=timeout)
        try:
            connection.request(method, path, body, headers or {})
            answer = connection.getresponse()
            return answer.status, dict(answer.headers), answer.read()
        finally:
            connection.close()


class Fleet:
    """Stops everything that it started when its `with` block ends."""

    def __init__(self, desired_state, gateways=3, services=None, memory_mb=110):
        self.directory = tempfile.mkdtemp(prefix="almondline-case-")
        self.store = metadata_store.Store()
        self.servers = []
        self.replicas = {}
        self.ids = 0
        self.lock = threading.Lock()
        self.store.put("op/config", json.dumps(desired_state))
        for service, count in (services or {"desk": 3}).items():
            for n in range(count):
                self.add_replica(f"i-{service}-{n}", service, f"zone-{n % 3}")
        self.gateways = [Gateway(self, f"front-{n}", f"zone-{n % 3}", memory_mb)
                         for n in range(gateways)]

    def __enter__(self):
        # Ends the processes also if run.sh stops the case.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        try:
            for it in self.gateways:
                it.start()
            deadline = time.monotonic() + 20
            while not all(it.is_ready() for it in self.gateways):
                if time.monotonic() > deadline:
                    ended = [it.name for it in self.gateways if not it.is_running()]
                    raise CannotRun(f"the gateways are not ready, ended: {ended}")
                time.sleep(0.1)
            time.sleep(4)  # contact_ms and a little more: the machines are in touch
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_):
        for it in self.gateways:
            it.signal(signal.SIGCONT)
            it.signal(signal.SIGKILL)
            if it.process is not None:
                it.process.wait()
        for it in self.servers:
            it.shutdown()
            it.server_close()
        if os.environ.get("KEEP_LOGS") != "1":
            shutil.rmtree(self.directory, ignore_errors=True)

    def add_replica(self, replica_id, service, zone, capacity=6):
        it = replica.Replica(replica_id)
        port = free_port()
        self.servers.append(replica.serve(it, port))
        self.replicas[replica_id] = it
        it.record = {"service": service, "address": f"127.0.0.1:{port}", "zone": zone,
                     "version": "v1", "capacity": capacity, "state": "ready",
                     "cold_remaining_ms": 0, "sequence": 1, "born": int(time.time() * 1000)}
        self.store.put(f"servers/{replica_id}", json.dumps(it.record))

    def next_id(self):
        with self.lock:
            self.ids += 1
            return f"{os.getpid():08x}{self.ids:08x}"


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
            self.file.flush()


def route(prefix, service, kind, **fields):
    return {"name": prefix.strip("/"), "hostname": HOST, "prefix": prefix, "kind": kind,
            "timeout_ms": 800, "target_latency_ms": 100, "priority": 2, "service": service,
            "max_attempts": 2 if kind == "idempotent" else 1, "public": False,
            "session_affinity": False, "resumable": False, "target_gap_ms": 200} | fields


def desired_state(routes, services, version=7, **fields):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "first", "api_keys": [KEY], "priority": 1, "unit": "tokens",
                         "plain_tokens": 200, "rate_per_s": 0, "burst": 0}]} | fields
