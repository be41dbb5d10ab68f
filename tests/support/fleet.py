"""A small fleet of real processes on loopback."""

import json
import os
import shutil
import signal
import subprocess
import tempfile
from pathlib import Path

from support import http_client, manifests
from support.chat import sha256
from support.gate import Gate
from support.process import Process, StartError, find_free_port, program

DOMAINS = ["domain-a", "domain-b", "domain-c"]
ENTRY_START_ATTEMPTS = 3


def stop_on_signals():
    """Turns SIGTERM and SIGHUP into an exception, so that `with Fleet()` stops everything."""

    def raise_exit(number, _frame):
        raise SystemExit(128 + number)

    signal.signal(signal.SIGTERM, raise_exit)
    signal.signal(signal.SIGHUP, raise_exit)


class Fleet:
    def __init__(self, directory=None, preset=None):
        self.is_temporary = directory is None
        self.directory = Path(directory or tempfile.mkdtemp(prefix="almondline-"))
        self.directory.mkdir(parents=True, exist_ok=True)
        self.preset = preset
        self.platform = None
        self.engines = {}
        self.plains = {}
        self.entries = {}
        self.records = {}  # entries of the instance list by id
        self.started = []
        self.gates = {}  # by engine name
        self.entry_settings = []  # further lines of the entries' settings
        self.key_file = self.directory / "operator-key"
        self.key_file.write_text(manifests.OPERATOR_KEY)

    def __enter__(self):
        return self

    def __exit__(self, *_details):
        self.stop()

    def _start(self, name, arguments):
        process = Process(name, arguments, self.directory)
        process.start()
        self.started.append(process)
        return process

    def _program(self, name):
        return program(name, self.preset)

    def start_platform(self, options=()):
        self.platform = self._start("platform", [self._program("standin-platform"), *options])
        return self.platform.wait_for_address()

    def _register(self, record):
        self.records[record["id"]] = record
        self.set_listed(record["id"])

    def set_listed(self, instance_id, state="live"):
        """Writes the instance's entry in the instance list; state None removes it."""
        target = f"/standin/instances/{instance_id}"
        if state is None:
            return http_client.call(self.platform.address, "DELETE", target)
        record = {**self.records[instance_id], "state": state}
        return http_client.call(self.platform.address, "PUT", target, body=record)

    def start_engine(self, name, engine_class, domain, options=(), listen="127.0.0.1:0",
                     is_gated=False):
        prefill, decode, kv_tokens, batch = manifests.ENGINE_CLASSES[engine_class]
        engine = self._start(name, [
            self._program("standin-engine"), "--listen", listen, "--model", manifests.MODEL,
            "--prefill-rate", str(prefill), "--decode-rate", str(decode),
            "--kv-tokens", str(kv_tokens), "--max-running", str(batch),
            "--journal", str(self.journal_path(name)), *options])
        engine.wait_for_address()
        self.engines[name] = engine
        address = engine.address
        if is_gated:
            self.gates[name] = Gate(engine.address)
            address = self.gates[name].address
        self._register({"id": name, "role": "backend", "service": "assistant",
                        "engine_class": engine_class, "address": address,
                        "failure_domain": domain})
        return engine

    def start_plain(self, name, domain, options=()):
        plain = self._start(name, [
            self._program("standin-plain"), "--journal", str(self.journal_path(name)), *options])
        plain.wait_for_address()
        self.plains[name] = plain
        self._register({"id": name, "role": "backend", "service": "booking",
                        "address": plain.address, "failure_domain": domain})
        return plain

    def _entry_settings(self, name, domain, listen, peer_listen, drain_grace):
        return "\n".join([
            "[entry]", f"instance_id = {name}", f"failure_domain = {domain}",
            f"listen = {listen}", f"peer_listen = {peer_listen}", "traffic_threads = 2",
            f"operator_key_hash = {sha256(manifests.OPERATOR_KEY)}", "drain_limit = 30s",
            f"drain_grace = {drain_grace}",
            "[store]", f"addresses = {self.platform.address}", "timeout = 2s",
            "[list]", f"address = {self.platform.address}", "poll = 500ms",
            *self.entry_settings, ""])

    def start_entry(self, name, domain, drain_grace="1s"):
        """Starts an entry instance. It is ready once a manifest is in force."""
        for attempt in range(ENTRY_START_ATTEMPTS):
            listen = f"127.0.0.1:{find_free_port()}"
            peer_listen = f"127.0.0.1:{find_free_port()}"
            path = self.directory / f"{name}.ini"
            path.write_text(self._entry_settings(name, domain, listen, peer_listen, drain_grace))
            entry = self._start(name, [self._program("almondline-entry"), "--config", str(path)])
            entry.address = listen
            try:
                entry.wait_until(lambda: http_client.call(listen, "GET", "/healthz").status == 200)
                break
            except StartError:
                # Another process may have taken a port between the search and the start.
                entry.stop()
                if attempt == ENTRY_START_ATTEMPTS - 1:
                    raise
        self.entries[name] = entry
        self._register({"id": name, "role": "entry", "address": listen,
                        "peer_address": peer_listen, "failure_domain": domain})
        return entry

    def start_small(self, entries=6, engine_options=(), platform_options=()):
        """Starts a platform, 4 different engines, 1 plain service, and entry instances in 3 failure
        domains."""
        self.start_platform(platform_options)
        for i, engine_class in enumerate(manifests.ENGINE_CLASSES):
            self.start_engine(f"engine-{i}", engine_class, DOMAINS[i % 3], engine_options)
        self.start_plain("booking-0", DOMAINS[0])
        for i in range(entries):
            self.start_entry(f"entry-{i}", DOMAINS[i % 3])

    def ctl_command(self, *arguments, entry=None):
        command = [self._program("almondctl"), "--store", self.platform.address,
                   "--operator-key-file", str(self.key_file), "--operator-name", "tests"]
        if entry:
            command += ["--entry", entry]
        return [*command, *arguments]

    def run_ctl(self, *arguments, entry=None):
        return subprocess.run(self.ctl_command(*arguments, entry=entry), capture_output=True,
                              text=True, timeout=30, check=False)

    @staticmethod
    def manifest_text(manifest):
        return json.dumps(manifest, indent=2)

    def publish(self, manifest, based_on):
        path = self.directory / f"manifest-{based_on + 1}.json"
        path.write_text(self.manifest_text(manifest))
        return self.run_ctl("manifest", "publish", str(path), "--based-on", str(based_on))

    def status(self, name):
        headers = {"Authorization": f"Bearer {manifests.OPERATOR_KEY}"}
        return http_client.call(self.entries[name].address, "GET", "/operator/status", headers,
                                timeout=2.0).json()

    def wait_ready(self, names=None, seconds=15.0):
        for name in names or list(self.entries):
            entry = self.entries[name]
            address = entry.address
            entry.wait_until(
                lambda a=address: http_client.call(a, "GET", "/readyz").status == 200, seconds)

    def journal_path(self, name):
        return self.directory / f"{name}.journal"

    def read_journal_lines(self, name):
        path = self.journal_path(name)
        return path.read_text().splitlines() if path.exists() else []

    def order_fault(self, process, **order):
        return http_client.call(process.address, "POST", "/standin/faults", body=order)

    def clear_faults(self, process):
        return http_client.call(process.address, "DELETE", "/standin/faults")

    def change_settings(self, process, **settings):
        return http_client.call(process.address, "POST", "/standin/settings", body=settings)

    def engine_state(self, name):
        return http_client.call(self.engines[name].address, "GET", "/standin/state").json()

    def stop(self):
        for it in self.gates.values():
            it.end()
        # Entry instances first, while the processes that they need still run, and all at once,
        # because each has its own time to finish requests in progress.
        entries = list(self.entries.values())
        for process in entries:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGTERM)
        for process in entries + [it for it in self.started if it not in entries]:
            process.stop()
        self.started.clear()
        if self.is_temporary and not os.environ.get("ALMONDLINE_KEEP_LOGS"):
            shutil.rmtree(self.directory, ignore_errors=True)
