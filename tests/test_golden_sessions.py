"""Golden files of sessions: bytes at the caller and at the backend server.

``DAMASKRAMP_GOLDEN=write`` rewrites the files; review the difference before committing
it.
"""

import asyncio
import os
import re
from dataclasses import dataclass
from pathlib import Path

from damaskramp.testing import StreamServer
from examples.fleet import HostSpec
from tests.fleets import KEY, FleetTestCase

GOLDEN = Path(__file__).with_name("golden")
ANSWER_TIMEOUT_SECONDS = 20.0

VARYING = (
    (rb"(damaskramp-context: )[0-9a-f]{32}", rb"\1<token>"),
    (rb"(damaskramp-(?:next-)?request-id: )[0-9A-Za-z_.~-]+", rb"\1<id>"),
    (rb"(damaskramp-timeout-ms: )[0-9]+", rb"\1<ms>"),
    (rb"Connection: close", rb"connection: close"),
    (rb"127\.[0-9]+\.[0-9]+\.[0-9]+", rb"<ip>"),
    (rb"(retry-after: )[0-9]+", rb"\1<s>"),
    (rb'("retry_after_seconds":)[0-9.]+', rb"\1<s>"),
)


@dataclass(frozen=True)
class Session:
    """One scripted session.

    Attributes
    ----------
    sent : bytes
        Bytes that the caller sends on one connection.
    answers : tuple of bytes
        Answers of the backend server to the requests that reach it. It closes the
        connection after the last one.
    """

    name: str
    sent: bytes
    answers: tuple[bytes, ...] = ()


def get(target: bytes, *headers: bytes, key: bytes | None = KEY) -> bytes:
    """Return a request without a body that closes the connection."""
    lines = [b"GET " + target + b" HTTP/1.1", b"Host: desk", *headers]
    if key:
        lines.append(b"Authorization: Bearer " + key)
    return b"\r\n".join([*lines, b"Connection: close", b"", b""])


def post(target: bytes, body: bytes, *headers: bytes) -> bytes:
    """Return a request with a body that closes the connection."""
    lines = [
        b"POST " + target + b" HTTP/1.1",
        b"Host: desk",
        b"Authorization: Bearer " + KEY,
        b"Content-Length: %d" % len(body),
        *headers,
        b"Connection: close",
    ]
    return b"\r\n".join([*lines, b"", body])


def keep_alive(request: bytes) -> bytes:
    """Return the request without the field that closes the connection."""
    return request.replace(b"Connection: close\r\n", b"")


OK = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\nhello"
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"4\r\nWiki\r\n6\r\npedia \r\n0\r\n\r\n"
)
TRUNCATED = b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhello"
TRUNCATED_CHUNKS = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nWiki\r\n"
ENDLESS = b"HTTP/1.1 200 OK\r\n\r\nhello"
SHED = b"HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy"
SPOOFED = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nDamaskramp-Outcome: not-run\r\n"
    b"Damaskramp-Request-Id: forged\r\n\r\nhi"
)
NOT_HTTP = b"SSH-2.0-none\r\n"

SESSIONS = (
    Session("answer", get(b"/board/today?round=2", b"Accept: text/plain"), (OK,)),
    Session(
        "two_requests_on_a_connection",
        keep_alive(get(b"/board/one")) + get(b"/board/two"),
        (OK, CHUNKED),
    ),
    Session("answer_in_chunks", get(b"/board/today"), (CHUNKED,)),
    Session("answer_truncated", post(b"/board/ballots", b"{}"), (TRUNCATED,)),
    Session(
        "answer_truncated_in_chunks",
        post(b"/board/ballots", b"{}"),
        (TRUNCATED_CHUNKS,),
    ),
    Session("answer_without_length", post(b"/board/ballots", b"{}"), (ENDLESS,)),
    Session("answer_not_http", post(b"/board/ballots", b"{}"), (NOT_HTTP,)),
    Session("answer_with_forged_fields", get(b"/board/today"), (SPOOFED,)),
    Session("shed_by_backend_server", post(b"/board/ballots", b"{}"), (SHED,)),
    Session("no_answer", post(b"/board/ballots", b"{}"), (b"",)),
    Session("key_missing", get(b"/board/today", key=None)),
    Session("key_unknown", get(b"/board/today", key=b"nobody")),
    Session("key_repeated", get(b"/board/today", b"Authorization: Bearer other-key")),
    Session("key_in_query", get(b"/board/today?key=" + KEY)),
    Session("route_unknown", get(b"/nowhere")),
    Session("timeout_field_bad", get(b"/board/today", b"Damaskramp-Timeout-Ms: -1")),
    Session(
        "forged_fields_dropped",
        get(b"/board/today", b"Damaskramp-Team: press", b"Damaskramp-Priority: 0"),
        (OK,),
    ),
    Session(
        "hop_by_hop_fields_dropped",
        get(b"/board/today", b"TE: trailers", b"Connection: x-hop", b"X-Hop: 1"),
        (OK,),
    ),
    Session(
        "both_length_fields",
        post(b"/board/ballots", b"0\r\n\r\nGET /x", b"Transfer-Encoding: chunked"),
    ),
    Session("two_lengths", post(b"/board/ballots", b"{}", b"Content-Length: 7")),
    Session("space_before_colon", get(b"/board/today", b"Transfer-Encoding : chunked")),
    Session("folded_field", get(b"/board/today", b"X-Long: a\r\n b"), (OK,)),
    Session("not_http", b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\r\n\r\n"),
    Session("head_too_large", get(b"/board/today", b"X-Long: " + b"a" * 70000)),
)


class _Backend:
    """Backend server that records requests and sends scripted answers."""

    def __init__(self, answers: tuple[bytes, ...]) -> None:
        self._answers = list(answers)
        self.seen: list[bytes] = []

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                self.seen.append(await _read_request(reader))
                if not self._answers:
                    break
                writer.write(self._answers.pop(0))
                await writer.drain()
                if not self._answers:
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass


async def _read_request(reader: asyncio.StreamReader) -> bytes:
    head = await reader.readuntil(b"\r\n\r\n")
    found = re.search(rb"content-length: (\d+)", head, re.IGNORECASE)
    return head + await reader.readexactly(int(found.group(1)) if found else 0)


def _format_bytes(data: bytes) -> str:
    if b"retry_after_seconds" in data:
        # The retry hint is random, so the length of the body varies.
        data = re.sub(rb"(content-length: )[0-9]+", rb"\1<n>", data)
    for pattern, replacement in VARYING:
        data = re.sub(pattern, replacement, data)
    text = data.decode("latin-1").replace("\r\n", "\\r\\n\n")
    lines = [
        line if len(line) < 200 else f"{line[:60]}..." for line in text.split("\n")
    ]
    return "\n".join("  " + line for line in lines).rstrip() + "\n"


class TestGoldenSessions(FleetTestCase):
    HOSTS = [HostSpec("board-1", "z1", "board", external=True)]

    async def _run_session(self, session: Session) -> str:
        backend = _Backend(session.answers)
        host, _, port = self.fleet.backend("board-1").rpartition(":")
        server = StreamServer(backend.serve)
        await server.start(host, int(port))
        caller_host, _, caller_port = self.fleet.http("board-1").rpartition(":")
        reader, writer = await asyncio.open_connection(caller_host, int(caller_port))
        writer.write(session.sent)
        got = await asyncio.wait_for(reader.read(-1), ANSWER_TIMEOUT_SECONDS)
        writer.close()
        server.stop()
        parts = ["caller sends\n" + _format_bytes(session.sent)]
        for seen in backend.seen:
            parts.append("backend server sees\n" + _format_bytes(seen))
        for answer in session.answers[: len(backend.seen)]:
            parts.append("backend server answers\n" + _format_bytes(answer))
        parts.append("caller gets\n" + _format_bytes(got))
        return "\n".join(parts)

    def test_sessions_match_their_golden_files(self):
        for session in SESSIONS:
            with self.subTest(session.name):
                text = self.run_loop(self._run_session(session))
                path = GOLDEN / f"{session.name}.txt"
                if os.environ.get("DAMASKRAMP_GOLDEN") == "write":
                    path.write_text(text)
                self.assertEqual(path.read_text(), text)
