"""The whole path with real processes: caller, two nodes, backend server."""

import hashlib
import tempfile
from pathlib import Path

import orjson

from damaskramp.http import HttpClient, HttpRequest, HttpResponse
from damaskramp.testing import LoopTestCase
from examples.fleet import Fleet, HostSpec

KEY = b"key-of-clubs"
WITHDRAWN_KEY = b"old-key-of-clubs"
BUNDLE = f"""
[bundle]
version = 1
issued = 2026-01-01T00:00:00Z
zones = ["z1", "z2"]
classes = ["ballots", "reading"]

[[teams]]
name = "clubs"
rate = 1000.0
burst = 1000

[[keys]]
team = "clubs"
digest = "{hashlib.sha256(KEY).hexdigest()}"

[[keys]]
team = "clubs"
digest = "{hashlib.sha256(WITHDRAWN_KEY).hexdigest()}"

[[services]]
name = "desk"
slots = 8
connections = 100
backend_servers = 1

[[services]]
name = "board"
slots = 8
connections = 100
backend_servers = 1

[[routes]]
service = "desk"
prefix = "/desk"
priority = "reading"
idempotent = true

[[routes]]
service = "board"
prefix = "/board"
priority = "ballots"
idempotent = true
"""
WITHDRAWAL = BUNDLE.replace("version = 1", "version = 2").replace(
    "[bundle]",
    f'withdrawn_keys = ["{hashlib.sha256(WITHDRAWN_KEY).hexdigest()}"]\n[bundle]',
)


class TestCallPath(LoopTestCase):
    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls._directory = tempfile.TemporaryDirectory()
        cls.addClassCleanup(cls._directory.cleanup)
        backend = {"records": True, "service_ms": 1}
        hosts = [
            HostSpec("desk-1", "z1", "desk", backend, ("GET /board/today",)),
            HostSpec("board-1", "z2", "board", backend),
        ]
        cls.fleet = Fleet(Path(cls._directory.name), hosts, BUNDLE)
        cls.enterClassContext(cls.fleet)

    def call(
        self, target: str, key: bytes | None = KEY, host: str = "board-1", **more
    ) -> HttpResponse:
        headers = ((b"authorization", b"Bearer " + key),) if key else ()
        headers += more.pop("headers", ())
        request = HttpRequest(more.pop("method", "GET"), target, headers, **more)
        address, _, port = self.fleet.http(host).rpartition(":")

        async def send() -> HttpResponse:
            answer = await HttpClient(address, int(port)).request(request, 10.0)
            return answer.ok

        return self.run_loop(send())

    def test_chain_is_answered(self):
        answer = self.call("/desk/motions?round=2")
        self.assertEqual(200, answer.status)
        self.assertEqual(b"answer", answer.value(b"damaskramp-outcome"))
        echo = orjson.loads(answer.body)
        self.assertEqual("/desk/motions?round=2", echo["target"])
        request_id = answer.value(b"damaskramp-request-id").decode()
        self.assertEqual(request_id, echo["request_id"])

    def test_inner_call_inherits_team(self):
        answer = self.call("/desk/motions")
        self.assertEqual(200, answer.status)
        records = self.fleet.records("board-1")["started"]
        inner = [entry for entry in records if entry["target"] == "/board/today"]
        self.assertEqual({"clubs"}, {entry["team"] for entry in inner})

    def test_key_never_reaches_backend_server(self):
        self.call("/board/a", headers=((b"x-note", b"n"),))
        for name in (b"Authorization", b"API-KEY", b"Proxy-Authorization"):
            self.call("/board/b", key=None, headers=((name, KEY),))
        self.call("/board/c?key=" + KEY.decode(), key=None)
        self.call("/board/d?key=" + KEY.decode())
        self.call("/board/e", headers=((b"x-copy", KEY),))
        self.call("/board/f", method="POST", body=b'{"key": "' + KEY + b'"}')
        seen = orjson.dumps(self.fleet.records("board-1"))
        self.assertNotIn(KEY, seen)
        for process in self.fleet.processes.values():
            self.assertNotIn(KEY.decode(), process.log_text)

    def test_refusals_say_why(self):
        cases = (
            ("/board/x", None, 401, b"key_missing"),
            ("/board/x", b"wrong", 401, b"key_unknown"),
            ("/nowhere", KEY, 404, b"no_route"),
        )
        for target, key, status, reason in cases:
            answer = self.call(target, key)
            self.assertEqual(status, answer.status)
            self.assertEqual(b"not-run", answer.value(b"damaskramp-outcome"))
            self.assertEqual(reason, answer.value(b"damaskramp-reason"))

    def test_unknown_context_token_is_refused(self):
        headers = ((b"damaskramp-context", b"00" * 16),)
        answer = self.call("/board/x", headers=headers)
        self.assertEqual(b"context_unknown", answer.value(b"damaskramp-reason"))
