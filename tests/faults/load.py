"""Bounded load from callers whose expected answers are known."""

import json
import random
import threading
import time
from dataclasses import replace

from faults.records import CallRecord
from support import http_client
from support.chat import (chat_body, content_digest, expected_answer, read_plain, read_stream,
                          sha256)
from support.manifests import ACCOUNTS, MODEL, TIERS, account_key

CALL_TIMEOUT_S = 25.0
# Pause of a caller after a call that got no 200.
PAUSE_AFTER_FAILURE_S = 0.05
ADDRESS_LIFETIME_S = 1.0
MAX_ATTEMPTS = 3
KEYED_FORMS = ("keyed", "minted")
ALL_FORMS = ("plain", "stream", "service", *KEYED_FORMS)


class AddressBook:
    """Entry addresses as callers get them from /v1/addresses, cached for ADDRESS_LIFETIME_S."""

    def __init__(self, seeds):
        self.names = {address: name for name, address in seeds.items()}
        self.addresses = list(self.names)
        self.lock = threading.Lock()
        self.fetched = 0.0

    def add(self, name, address):
        with self.lock:
            self.names[address] = name

    def name_of(self, address):
        with self.lock:
            return self.names.get(address, address)

    def pick(self, rng):
        with self.lock:
            if time.monotonic() - self.fetched > ADDRESS_LIFETIME_S:
                self.fetched = time.monotonic()
                self._fetch(rng)
            address = rng.choice(self.addresses)
            return address, self.names.get(address, address)

    def _fetch(self, rng):
        for address in rng.sample(list(self.names), len(self.names)):
            answer = http_client.call(address, "GET", "/v1/addresses", timeout=0.5).json()
            listed = [it["address"] for it in answer.get("addresses", [])]
            if listed:
                self.addresses = listed
                return


def _prompt(rng, number, shared):
    # Prompts share prefixes, which the engines can cache.
    return f"{shared * 2}question {number} {rng.random()}"


def make_call(rng, number, tier, form):
    """Returns the record of a call and its HTTP request (method, target, body)."""
    if form in ("service", *KEYED_FORMS):
        body = json.dumps({"seat": number, "nonce": rng.random()}).encode()
        # Only the second one is idempotent.
        method, target = rng.choice([("POST", "/seats/book"), ("POST", "/search")])
        if form in KEYED_FORMS:
            target = "/seats/book"
        expected = json.dumps({"method": method, "path": target, "body_sha256": sha256(body),
                               "ran": 1}, separators=(",", ":"))
        record = CallRecord(number, "booking", tier, form, "", sha256(body), expected)
        return record, (method, "/services/booking" + target, body)
    prompt = _prompt(rng, number, rng.choice(["north ", "south "]) * 40)
    tokens = rng.randint(4, 40)
    record = CallRecord(number, "assistant", tier, form, "", content_digest(MODEL, prompt, tokens),
                        expected_answer(MODEL, prompt, tokens))
    body = json.dumps(chat_body(MODEL, prompt, tokens, form == "stream")).encode()
    return record, ("POST", "/v1/chat/completions", body)


def read_response(record, response):
    """Stores the response in the call's record, as the caller saw it."""
    record.status = response.status
    record.is_complete = response.is_complete
    record.error = response.error
    record.is_connected = response.is_connected
    record.request_id = response.header("x-request-id")
    record.retry_after = response.header("retry-after")
    record.verdict = response.header("x-verdict")
    record.use_address = response.header("x-use-address")
    if response.status != 200:
        record.code = response.json().get("error", {}).get("code", "")
    elif record.form == "stream":
        record.answer, record.has_end_mark, record.has_error = read_stream(response.body)
    elif record.form == "plain":
        record.answer = read_plain(response.body) if response.is_complete else ""
    else:
        record.answer = response.body.decode(errors="replace")


def call_headers(account, tier, key=""):
    headers = {"Authorization": f"Bearer {account_key(account)}", "X-Tier": TIERS[tier],
               "Content-Type": "application/json"}
    if key:
        headers["Idempotency-Key"] = key
    return headers


def send_call(record, request, address, headers):
    method, target, body = request
    record.sent = time.time()
    response = http_client.call(address, method, target, headers, body, CALL_TIMEOUT_S)
    read_response(record, response)
    is_timeout = response.status == 0 and time.time() - record.sent >= CALL_TIMEOUT_S
    record.ended = 0.0 if is_timeout else time.time()


def needs_retry(record):
    """Returns whether a caller with an idempotency key must retry to get the outcome."""
    return not record.is_answered and (record.status == 0 or record.verdict == "may-have-run"
                                       or bool(record.use_address))


class Load:
    """Threads that each send calls one at a time, at most max_calls, until stopped."""

    def __init__(self, book, seed):
        self.book = book
        self.seed = seed
        self.records = []
        self.lock = threading.Lock()
        self.next_number = 0
        self.threads = []
        self.is_stopped = threading.Event()

    def _take_number(self):
        with self.lock:
            self.next_number += 1
            return self.next_number

    def _add(self, record):
        with self.lock:
            self.records.append(record)

    def _mint_key(self, address, account):
        answer = http_client.call(address, "POST", "/v1/identities", call_headers(account, 1),
                                  timeout=CALL_TIMEOUT_S)
        return answer.json().get("idempotency_key", "")

    def _send_keyed(self, rng, record, request, account, address):
        """Sends a call with the same key until its outcome is known, at most MAX_ATTEMPTS times."""
        key = f"chosen-{self.seed}-{record.number}"
        if record.form == "minted":
            key = self._mint_key(address, account)
            if not key:
                return
        for attempt in range(MAX_ATTEMPTS):
            record.is_retry = attempt > 0
            self._add(record)
            send_call(record, request, address, call_headers(account, record.tier, key))
            if not needs_retry(record):
                return
            time.sleep(PAUSE_AFTER_FAILURE_S)
            if record.use_address:
                address, name = record.use_address, self.book.name_of(record.use_address)
            else:
                address, name = self.book.pick(rng)
            record = replace(record, entry=name, status=0, verdict="", code="", answer="",
                             use_address="", is_complete=False, error="", ended=0.0)

    def _run(self, rng, tiers, forms, max_calls, pause):
        for _ in range(max_calls):
            if self.is_stopped.is_set():
                return
            number = self._take_number()
            record, request = make_call(rng, number, rng.choice(tiers), rng.choice(forms))
            address, record.entry = self.book.pick(rng)
            account = rng.choice(ACCOUNTS)
            if record.form in KEYED_FORMS:
                self._send_keyed(rng, record, request, account, address)
            else:
                self._add(record)
                send_call(record, request, address, call_headers(account, record.tier))
            time.sleep(pause if record.status == 200 else PAUSE_AFTER_FAILURE_S)

    def start(self, callers, tiers=(0, 1, 2), forms=ALL_FORMS, max_calls=400, pause=0.0):
        for _ in range(callers):
            rng = random.Random(f"{self.seed}-{len(self.threads)}")
            thread = threading.Thread(target=self._run, args=(rng, tiers, forms, max_calls, pause),
                                      daemon=True)
            self.threads.append(thread)
            thread.start()

    def stop(self):
        """Waits for the calls in progress and returns the records."""
        self.is_stopped.set()
        for thread in self.threads:
            thread.join(CALL_TIMEOUT_S + 5)
        return self.records
