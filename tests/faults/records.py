"""Observations of the fault driver: calls, journals and the driver's own actions."""

from dataclasses import dataclass, field


@dataclass
class CallRecord:
    """One request as its caller saw it. Times are Unix seconds."""

    number: int
    service: str
    tier: int  # 0 is the most urgent
    form: str  # "plain", "stream", "service", "keyed" or "minted"
    entry: str  # entry instance that it was sent to
    digest: str  # identifies the content in the journals; unique per request
    expected: str  # whole answer
    sent: float = 0.0
    ended: float = 0.0  # 0: the caller timed out
    status: int = 0  # 0: no response header
    verdict: str = ""
    code: str = ""
    request_id: str = ""
    retry_after: str = ""
    answer: str = ""
    is_complete: bool = False  # the body ended as the header announced
    has_end_mark: bool = True  # of a stream
    has_error: bool = False  # the answer itself reports an error
    error: str = ""  # the connection broke or was refused
    is_connected: bool = True
    is_retry: bool = False  # a further attempt with the same idempotency key
    use_address: str = ""  # address to which the refusal redirects the caller
    time_limit: float = 20.0  # seconds, the deadline of the service in the manifest

    @property
    def is_answered(self):
        return self.status == 200 and self.is_complete and self.has_end_mark and not self.has_error


@dataclass
class JournalLine:
    backend: str
    request_id: str
    digest: str
    dispatched: int
    ran: int
    arrived: list = field(default_factory=list)  # Unix seconds


@dataclass
class OrderRecord:
    """Order that an engine received, from its journal."""

    engine: str
    kind: str
    target: str
    fencing: int  # fencing token of the lease holder
    is_taken: bool
    interrupted: int  # requests of the model in the engine when it was unloaded
    at: float  # Unix seconds


@dataclass
class PlannedStop:
    entry: str
    at: float


@dataclass
class Leaving:
    backend: str
    since: float  # when a source first reported it
    until: float = float("inf")  # when the report ended


@dataclass
class VersionSeen:
    entry: str
    incarnation: int  # rises when the driver restarts the entry
    at: float
    version: int


@dataclass
class Publication:
    version: int
    at: float


@dataclass
class Observations:
    calls: list = field(default_factory=list)
    journal: list = field(default_factory=list)
    orders: list = field(default_factory=list)
    stops: list = field(default_factory=list)
    leaving: list = field(default_factory=list)
    versions: list = field(default_factory=list)
    publications: list = field(default_factory=list)


def read_journal(backend, lines):
    """Reads a stand-in's journal file. It outlives the process, and restarts append to it."""
    found = {}
    for text in lines:
        words = text.split()
        if len(words) < 2 or words[0] == "order":
            continue
        line = found.setdefault(words[1], JournalLine(backend, words[1], "", 0, 0))
        if words[0] == "dispatch" and len(words) == 4:
            line.dispatched += 1
            line.digest = words[2]
            line.arrived.append(int(words[3]) / 1000)
        elif words[0] == "run":
            line.ran += 1
    return list(found.values())


def read_orders(engine, lines):
    found = []
    for text in lines:
        words = text.split()
        if len(words) == 7 and words[0] == "order":
            found.append(OrderRecord(engine, words[1], words[2], int(words[3]),
                                     words[4] == "taken", int(words[5]), int(words[6]) / 1000))
    return found
