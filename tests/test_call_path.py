"""Path of a call through real processes: caller, two nodes, backend server."""

import orjson

from tests.fleets import KEY, FleetTestCase, desk_and_boards


class TestCallPath(FleetTestCase):
    HOSTS = desk_and_boards()

    def test_chain_is_answered(self):
        answer = self.call("board-1", "/desk/motions?round=2")
        self.assertEqual(200, answer.status)
        self.assertEqual(b"answer", answer.value(b"damaskramp-outcome"))
        echo = orjson.loads(answer.body)
        self.assertEqual("/desk/motions?round=2", echo["target"])
        request_id = answer.value(b"damaskramp-request-id").decode()
        self.assertEqual(request_id, echo["request_id"])

    def test_inner_call_inherits_team(self):
        answer = self.call("board-1", "/desk/motions")
        self.assertEqual(200, answer.status)
        records = self.fleet.records("board-1")["started"]
        inner = [entry for entry in records if entry["target"] == "/board/today"]
        self.assertEqual({"clubs"}, {entry["team"] for entry in inner})

    def test_key_never_reaches_backend_server(self):
        text = KEY.decode()
        encoded = text.replace("k", "%6b")
        self.call("board-1", "/board/a")
        for name in (b"Authorization", b"API-KEY", b"Proxy-Authorization"):
            self.call("board-1", "/board/b", key=None, headers=((name, KEY),))
            self.call("board-1", "/board/public", headers=((name, KEY),))
        for target in (f"/board/c?key={text}", f"/board/{text}", f"/board/{encoded}"):
            for key in (KEY, None):
                self.call("board-1", target, key=key)
        self.call("board-1", f"/board/public?key={text}", key=None)
        for value in (KEY, b"a=b; k=" + KEY + b"; c", b'"' + KEY + b'"'):
            for name in (b"x-copy", b"cookie", b"damaskramp-context"):
                for key in (KEY, None):
                    headers = ((name, value),)
                    self.call("board-1", "/board/public", key=key, headers=headers)
        body = b'{"key": "' + KEY + b'"}'
        self.call("board-1", "/board/f", method="POST", body=body)
        seen = orjson.dumps(self.fleet.records("board-1"))
        self.assertNotIn(KEY, seen)
        self.assertNotIn(encoded.encode(), seen)
        for process in self.fleet.processes.values():
            self.assertNotIn(text, process.log_text)

    def test_refusals_carry_their_reason(self):
        cases = (
            ("/board/x", None, 401, b"key_missing"),
            ("/board/x", b"wrong", 401, b"key_unknown"),
            ("/nowhere", KEY, 404, b"no_route"),
        )
        for target, key, status, reason in cases:
            answer = self.call("board-1", target, key=key)
            self.assertEqual(status, answer.status)
            self.assertEqual(b"not-run", answer.value(b"damaskramp-outcome"))
            self.assertEqual(reason, answer.value(b"damaskramp-reason"))

    def test_unknown_context_token_is_refused(self):
        headers = ((b"damaskramp-context", b"00" * 16),)
        answer = self.call("board-1", "/board/x", headers=headers)
        self.assertEqual(b"context_unknown", answer.value(b"damaskramp-reason"))

    def test_open_route_needs_no_key(self):
        answer = self.call("board-1", "/board/public", key=None)
        self.assertEqual(200, answer.status)
