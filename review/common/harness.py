"""Starts almondline-gateway processes on loopback with stand-ins of the platform.

The stand-ins follow the users' pages: a metadata store, replicas that register in it and write
heartbeats, and clients. They run in this process on one asyncio loop; the gateways are separate
processes, started with the command of deploy/system.toml and settings rendered from the template
that it names. Every address is a loopback address.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import sys
import tempfile
import time
import tomllib
import urllib.parse
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parents[2]
HOST = "ficu95.example"
KEY = "i9n73hh2b9wu3fexd9dn"
HEARTBEAT_S = 1.2
IDLE_S = 30  # replicas state this in Keep-Alive
BOUNDS = {"contact_ms": 3000, "drain_timeout_ms": 2000, "grace_period_s": 8,
          "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_extra": 52,
          "quota_window_s": 8, "quota_overage": 0.1, "quota_slack": 110000}
LIMITS = {"cpu_share": 0.25, "cpu_cores": 1, "memory_mb": 110, "max_fds": 4100}

RULE_BROKEN = 1
RULE_HELD = 0
COULD_NOT_RUN = 2


class CouldNotRun(Exception):
    pass


class Record:
    """Lines of record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()

    def add(self, who, event, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{time.monotonic() - self.started:8.3f} {who} {event} {text}\n")
        self.file.flush()


def find_header(headers, name, default=""):
    for key, value in headers:
        if key.lower() == name.lower():
            return value
    return default


async def read_head(reader):
    """Returns the first line and the headers of an HTTP message; None at the end of the channel."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers.append((name.strip(), value.strip()))
    return lines[0], headers


async def read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        if size == 0:
            while (await reader.readuntil(b"\r\n")) != b"\r\n":
                pass
            return body
        body += await reader.readexactly(size)
        await reader.readexactly(2)


async def read_body(reader, headers):
    if "chunked" in find_header(headers, "Transfer-Encoding").lower():
        return await read_chunks(reader)
    return await reader.readexactly(int(find_header(headers, "Content-Length", "0")))


class Store:
    """The platform's metadata store."""

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.items = {}
        self.events = []
        self.leases = {}
        self.next_lease = 1
        self.changed = asyncio.Condition()
        self.server = None
        self.address = ""

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        self.expiry = asyncio.create_task(self.expire_leases())

    async def put(self, key, value, lease=0):
        async with self.changed:
            self._put(key, value.encode(), lease)
            self.changed.notify_all()

    async def remove(self, key):
        async with self.changed:
            self._remove(key)
            self.changed.notify_all()

    def _put(self, key, value, lease):
        self.revision += 1
        known = self.items.get(key)
        self.items[key] = {"key": key, "value": base64.b64encode(value).decode(),
                           "revision": self.revision,
                           "created": known["created"] if known else self.revision, "lease": lease}
        self.events.append(self.items[key])

    def _remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.events.append({"key": key, "revision": self.revision, "tombstone": True})

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, it in self.items.items() if it["lease"] == lease]:
            self._remove(key)

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.25)
            async with self.changed:
                for lease, (end, _) in list(self.leases.items()):
                    if end < time.monotonic():
                        self._end_lease(lease)
                        self.changed.notify_all()

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                method, target, _ = head[0].split(" ", 2)
                body = await read_body(reader, head[1])
                parts = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(parts.query))
                status, answer = await self.answer(method, parts.path, query,
                                                   json.loads(body) if body else {})
                text = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nStore-Era: 1\r\n"
                             b"Content-Length: %d\r\n\r\n%s" % (status, len(text), text))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, method, path, query, body):
        if path == "/almondline/kv-watch":
            return await self.watch(query["prefix"], int(query["after"]), int(query["wait_ms"]))
        async with self.changed:
            self.changed.notify_all()
            if path == "/almondline/kv-key":
                item = self.items.get(query["key"])
                return (200, item | {"as_of": self.revision}) if item else (404, {})
            if path == "/almondline/kv-range":
                after = query.get("after", "")
                found = [it for k, it in sorted(self.items.items())
                         if k.startswith(query["prefix"]) and k > after]
                return 200, {"items": found[:500], "has_more": len(found) > 500,
                             "as_of": self.revision}
            if path == "/almondline/kv-txn":
                return self.transact(body)
            if path == "/almondline/kv-lease":
                lease, self.next_lease = self.next_lease, self.next_lease + 1
                self.leases[lease] = (time.monotonic() + body["ttl_ms"] / 1000, body["ttl_ms"])
                return 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}
            name, _, number = path.rpartition("/")
            lease = int(number) if number.isdigit() else 0
            if name == "/almondline/kv-keep":
                if lease not in self.leases:
                    return 404, {}
                ttl_ms = self.leases[lease][1]
                self.leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
                return 200, {"lease": lease, "ttl_ms": ttl_ms}
            if name == "/almondline/kv-lease-end" and method == "DELETE":
                self._end_lease(lease)
                return 200, {}
        return 404, {}

    def transact(self, body):
        rows = body.get("precondition", [])
        if any(self.items.get(it["key"], {"revision": 0})["revision"] != it["revision"]
               for it in rows):
            return 412, {"items": [self.items[it["key"]] for it in rows
                                   if it["key"] in self.items]}
        for it in body.get("writes", []):
            if it.get("lease", 0) and it["lease"] not in self.leases:
                return 404, {}
            self._put(it["key"], base64.b64decode(it["value"]), it.get("lease", 0))
        for key in body.get("remove", []):
            self._remove(key)
        return 200, {"revision": self.revision}

    async def watch(self, prefix, after, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        async with self.changed:
            while True:
                events = [it for it in self.events
                          if it["revision"] > after and it["key"].startswith(prefix)]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "as_of": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except TimeoutError:
                    pass


class Arrival:
    """A request that reached a replica."""

    def __init__(self, replica, channel, line, headers, body, writer):
        self.replica = replica
        self.channel = channel
        self.method, self.target, _ = line.split(" ", 2)
        self.headers = headers
        self.body = body
        self.writer = writer
        self.id = find_header(headers, "Almondline-Attempt-Id")

    def note_run(self):
        self.replica.runs.append(self.id)
        self.replica.record.add(self.replica.id, "ran", id=self.id, channel=self.channel,
                                method=self.method, target=self.target, body=len(self.body))

    def seal(self):
        return ("Almondline-Server-Seal", f"seal-{self.replica.id}-{self.id}")

    async def answer(self, status, body=b"", headers=(), has_body=True):
        lines = [f"HTTP/1.1 {status} X", f"Almondline-Attempt-Id: {self.id}",
                 f"Content-Length: {len(body)}", f"Keep-Alive: timeout={IDLE_S}"]
        lines += [f"{name}: {value}" for name, value in headers]
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + (body if has_body else b""))
        await self.writer.drain()
        self.replica.record.add(self.replica.id, "answered", id=self.id, status=status)


    async def stream(self, events, first_s, gap_s):
        """Runs the request as a stream of events. It has run from its first event on."""
        await asyncio.sleep(first_s)
        self.note_run()
        lines = ["HTTP/1.1 200 OK", f"Almondline-Attempt-Id: {self.id}",
                 "Content-Type: text/event-stream", "Transfer-Encoding: chunked",
                 "Almondline-Weight-Versions: 1", f"Keep-Alive: timeout={IDLE_S}",
                 ": ".join(self.seal())]
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        first = int(find_header(self.headers, "Last-Event-Id", "0")) + 1
        for n in range(first, events + 1):
            if n > first:
                await asyncio.sleep(gap_s)
            if self.writer.is_closing():
                return
            event = b"id: %d\ndata: piece %d\n\n" % (n, n)
            self.writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await self.writer.drain()
        self.writer.write(b"0\r\n\r\n")
        await self.writer.drain()
        self.replica.record.add(self.replica.id, "answered", id=self.id, status=200)


class Replica:
    """A replica that registers in the store. `handler` may answer an arrival in its own way."""

    def __init__(self, replica_id, service, record, work_s=0.015, capacity=7):
        self.id = replica_id
        self.service = service
        self.record = record
        self.work_s = work_s
        self.capacity = capacity
        self.runs = []
        self.arrivals = 0
        self.channels = 0
        self.handler = None
        self.sequence = 0
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.writers = set()
        self.tasks = set()
        self.crashes = 0

    async def start(self, ip, store):
        self.store = store
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        await self.report()
        self.beat = asyncio.create_task(self.report_always())

    async def report(self):
        self.sequence += 1
        await self.store.put(f"servers/{self.id}", json.dumps(
            {"service": self.service, "address": self.address, "zone": "zone-a", "version": "1",
             "capacity": self.capacity, "state": self.state, "cold_remaining_ms": 0,
             "sequence": self.sequence, "born": self.born}))

    async def report_always(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.server:
                await self.report()

    def crash(self, seconds, cause):
        """Ends the process of the replica. It starts again under the same id and address."""
        if self.server is None:
            return
        self.crashes += 1
        self.record.add(self.id, "crashed", by=cause)
        self.server.close()
        self.server = None
        for it in list(self.writers):
            it.transport.abort()
        for it in list(self.tasks):
            it.cancel()
        self.restart = asyncio.create_task(self.start_again(seconds))

    async def start_again(self, seconds):
        await asyncio.sleep(seconds)
        ip, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self.serve, ip, int(port))
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.record.add(self.id, "started-again")
        await self.report()

    async def serve(self, reader, writer):
        self.channels += 1
        channel = self.channels
        self.writers.add(writer)
        self.tasks.add(asyncio.current_task())
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                arrival = Arrival(self, channel, head[0], head[1], body, writer)
                self.arrivals += 1
                self.record.add(self.id, "arrived", id=arrival.id, channel=channel,
                                method=arrival.method, target=arrival.target, body=len(body))
                if find_header(head[1], "Almondline-Expect-Instance", self.id) != self.id:
                    await arrival.answer(421)
                elif self.handler is None or not await self.handler(arrival):
                    await self.run(arrival)
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            pass  # the replica crashed
        finally:
            self.writers.discard(writer)
            self.tasks.discard(asyncio.current_task())
            writer.close()

    async def run(self, arrival):
        arrival.note_run()
        await asyncio.sleep(self.work_s)
        await arrival.answer(200, b"done " + arrival.id.encode(), [arrival.seal()],
                             has_body=arrival.method != "HEAD")


def route(name, service, kind, **fields):
    return {"name": name, "hostname": HOST, "prefix": f"/{name}/", "kind": kind,
            "timeout_ms": 4000, "target_latency_ms": 400, "target_gap_ms": 200, "priority": 0,
            "service": service, "max_attempts": 2, "public": False, "resumable": False,
            "session_affinity": False} | fields


def desired_state(routes, services, version=1):
    engine = {"capacity": 7, "kv_capacity": 287291, "stride": 4,
              "models": [{"name": "m", "version": 1, "adapters": []}]}
    models = {it["service"] for it in routes if it["kind"] == "stream"}
    return {"version": version, "routes": routes,
            "services": [{"name": it, "health_path": "/health", "max_connections": 360} |
                         ({"engine": engine} if it in models else {}) for it in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "hule930", "api_keys": [KEY], "priority": 1, "unit": "tokens",
                         "plain_tokens": 200, "rate_per_s": 0, "burst": 0}]}


def render(text, fields):
    """Fills in a template as DEPLOY.md describes it, as far as deploy/gateway.ini needs it."""

    def value(path):
        found = fields
        for part in path.split("."):
            found = found[int(part)] if isinstance(found, list) else (found or {}).get(part)
        return found

    def section(match):
        found = value(match.group(1))
        return match.group(2).replace("{{.}}", str(found)) if found not in (None, False) else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda it: str(value(it.group(1))), text)


class Gateway:
    """An almondline-gateway process on a loopback address of its own."""

    def __init__(self, name, zone, ip, store_address, directory, record):
        self.name = name
        self.record = record
        self.process = None
        self.front = f"{ip}:8221"
        self.ready = f"{ip}:8224"
        deploy = tomllib.loads((REPOSITORY / "deploy" / "system.toml").read_text())
        role = deploy["roles"]["gateway"]
        self.settings = {
            "node_name": name, "zone": zone, "bind_ip": ip, "bounds": BOUNDS, "limits": LIMITS,
            "bind_addrs": {"front": self.front, "ready": self.ready, "directory": f"{ip}:8220"},
            "internal_ports": [7600, 7615], "platform": {"address": store_address}}
        template = (REPOSITORY / role["template"]).read_text()
        path = Path(directory) / f"{name}.ini"
        path.write_text(render(template, self.settings))
        self.command = [str(path) if it == "/etc/almondline/local.json" else it
                        for it in role["run"].split(" ")]
        self.log_path = Path(directory) / f"{name}.log"
        self.peak_kb = 0

    async def start(self):
        if not (REPOSITORY / self.command[0]).exists():
            raise CouldNotRun(f"{self.command[0]} is missing: run the build of the deploy file")
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.command, cwd=REPOSITORY, stdin=asyncio.subprocess.DEVNULL, stdout=log,
                stderr=log)
        self.record.add(self.name, "started", pid=self.process.pid)

    def is_running(self):
        return self.process is not None and self.process.returncode is None

    async def is_ready(self):
        try:
            answer = await asyncio.wait_for(
                call(self.ready, b"GET /almondline/ready HTTP/1.1\r\nHost: x\r\n\r\n"), 1)
        except (OSError, TimeoutError):
            return False
        return answer is not None and answer.status == 200

    async def wait_ready(self, seconds=20):
        end = time.monotonic() + seconds
        while not await self.is_ready():
            if time.monotonic() > end or not self.is_running():
                raise CouldNotRun(f"{self.name} is not ready")
            await asyncio.sleep(0.1)

    def resident_kb(self):
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0
        found = re.search(r"VmRSS:\s+(\d+) kB", text)
        return int(found.group(1)) if found else 0

    def kill(self):
        if self.is_running():
            self.process.send_signal(signal.SIGKILL)


class Answer:
    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    def header(self, name):
        return find_header(self.headers, name)


class Channel:
    """A client's kept channel."""

    def __init__(self, address):
        self.ip, port = address.rsplit(":", 1)
        self.port = int(port)
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(self.ip, self.port)
        return self

    async def send(self, data):
        self.writer.write(data)
        await self.writer.drain()

    async def read_answer(self, has_body=True):
        """Returns None if the channel ends before a complete answer."""
        head = await read_head(self.reader)
        if head is None:
            return None
        try:
            body = await read_body(self.reader, head[1]) if has_body else b""
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        return Answer(int(head[0].split(" ")[1]), head[1], body)

    def close(self):
        if self.writer:
            self.writer.close()


async def call(address, data):
    channel = await Channel(address).open()
    try:
        await channel.send(data)
        return await channel.read_answer()
    finally:
        channel.close()


def request_head(method, target, attempt_id, headers=(), deadline_ms=4000, key=KEY):
    lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}", f"Almondline-Attempt-Id: {attempt_id}",
             f"Almondline-Deadline-Ms: {deadline_ms}", f"Authorization: Bearer {key}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


class Fleet:
    """A store, replicas and gateways. Ends all that it started."""

    def __init__(self, directory, record):
        self.directory = directory
        self.record = record
        self.store = Store(record)
        self.replicas = []
        self.gateways = []
        self.subnet = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"

    async def start(self, state, replicas, gateways=1):
        await self.store.start("127.0.0.1")
        await self.store.put("op/config", json.dumps(state))
        self.replicas = replicas
        for it in replicas:
            await it.start("127.0.0.1", self.store)
        for n in range(gateways):
            it = Gateway(f"front-{n}", f"zone-{'abc'[n % 3]}", f"{self.subnet}.{n + 1}",
                         self.store.address, self.directory, self.record)
            self.gateways.append(it)
            await it.start()
        for it in self.gateways:
            await it.wait_ready()

    async def stop(self):
        for it in self.gateways:
            it.kill()
            if it.process:
                await it.process.wait()


def main(case, folder, record_name="record.txt"):
    """Runs case(fleet, record, has_trouble), which returns True if the rule was broken."""
    os.umask(0o077)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    directory = tempfile.mkdtemp(prefix="almondline-review-")
    record = Record(Path(folder) / record_name)

    async def run():
        fleet = Fleet(directory, record)
        try:
            return await asyncio.wait_for(case(fleet, record, has_trouble), 110)
        finally:
            await fleet.stop()

    try:
        is_broken = asyncio.run(run())
        record.add("verdict", "rule broken" if is_broken else "rule held",
                   trouble=int(has_trouble))
        result = RULE_BROKEN if is_broken else RULE_HELD
    except (CouldNotRun, OSError, TimeoutError) as error:
        record.add("verdict", "could not run", cause=repr(error))
        print(f"could not run: {error!r}", file=sys.stderr)
        result = COULD_NOT_RUN
    finally:
        if os.environ.get("KEEP_LOGS"):
            print(directory, file=sys.stderr)
        else:
            shutil.rmtree(directory, ignore_errors=True)
    sys.exit(result)
