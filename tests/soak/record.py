"""What callers sent, what they were told, and what backend servers did."""

import dataclasses
import hashlib
import json
import time

from tests.relay_fleet import field

__all__ = ["Arrival", "Notice", "Record", "Sent", "Told", "digest_of", "read_answer"]

DIGEST_LENGTH = 16


def digest_of(request_id, path, body):
    """Digest of a request, by which an answer is matched with it.

    The id is part of it, as two requests without a body differ in nothing else.
    """
    parts = (request_id.encode(), path.encode(), body)
    return hashlib.sha256(b"\0".join(parts)).hexdigest()[:DIGEST_LENGTH]


@dataclasses.dataclass(slots=True)
class Sent:
    """Attempt of a caller, with its key; times are seconds since the start.

    Attributes
    ----------
    is_call : bool
        Whether a backend server made the request while it ran another one.
    of_repeat : bool
        Whether that other request had run before.
    """

    request_id: str
    team: str
    key: str
    host: int
    service: str
    idempotent: bool
    at: float
    digest: str
    is_call: bool = False
    of_repeat: bool = False


@dataclasses.dataclass(slots=True)
class Told:
    """End of an attempt: the answer, or status 0 if the connection ended first."""

    request_id: str
    status: int
    at: float
    answer_id: str = ""
    digest: str = ""
    whole: bool = True


async def read_answer(reader, told):
    """Read an answer into its record, as far as it comes; return its head."""
    head = await reader.readuntil(b"\r\n\r\n")
    told.status = int(head.split(b" ", 2)[1])
    told.answer_id = field(head, "x-request-id") or ""
    told.whole = False
    body = await reader.readexactly(int(field(head, "content-length") or 0))
    told.whole = True
    told.digest = body[:DIGEST_LENGTH].decode("latin-1")
    return head


@dataclasses.dataclass(slots=True)
class Arrival:
    """Request at a backend server, with what the server made of it."""

    server: int
    service: str
    request_id: str
    team: str
    at: float
    digest: str
    ran: bool
    has_key: bool
    misdirected: bool = False


@dataclasses.dataclass(slots=True)
class Notice:
    """Change that the platform, a server or the run made at a known time."""

    what: str
    at: float
    host: int = -1
    detail: str = ""
    until: float = float("inf")


class Record:
    """All records of one run, on one clock."""

    def __init__(self):
        self._start = time.monotonic()
        self.sent = {}
        self.told = {}
        self.arrivals = []
        self._run_ids = set()
        self.notices = []

    def restart_clock(self):
        """Begin to count the seconds of the run now; return the seconds passed."""
        passed = self.now
        self._start += passed
        for notice in self.notices:
            notice.at -= passed
        return passed

    @property
    def now(self):
        """Seconds since the start of the run."""
        return time.monotonic() - self._start

    def add_sent(self, sent):
        self.sent[sent.request_id] = sent

    def add_told(self, told):
        self.told[told.request_id] = told

    def is_call(self, request_id):
        """Whether a backend server made a request."""
        return self.sent[request_id].is_call

    def begin_run(self, arrival):
        """Record that a server runs a request; return whether it ran before."""
        arrival.ran = True
        is_repeat = arrival.request_id in self._run_ids
        self._run_ids.add(arrival.request_id)
        return is_repeat

    def add_notice(self, what, host=-1, detail=""):
        """Record a change that begins now, and return its record."""
        notice = Notice(what, self.now, host, detail)
        self.notices.append(notice)
        return notice

    def of(self, what):
        """Return the changes of one kind."""
        return [notice for notice in self.notices if notice.what == what]

    def save(self, path):
        """Write all records as lines of JSON."""
        with open(path, "w", encoding="utf-8") as file:
            for part in (
                self.notices,
                self.sent.values(),
                self.told.values(),
                self.arrivals,
            ):
                for item in part:
                    line = {"record": type(item).__name__, **dataclasses.asdict(item)}
                    file.write(json.dumps(line) + "\n")
