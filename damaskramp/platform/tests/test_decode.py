"""Bodies of the store, good and broken."""

import orjson
from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from damaskramp.platform.decode import (
    DecodeError,
    decode_configuration,
    decode_server,
)

ENTRY = {
    "service": "draws",
    "address": "10.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "slots": 104,
    "state": "ready",
    "warmup-left": "1500ms",
    "sequence": 4,
    "born": 1700000000000,
}
ROUTE = {
    "host": "Draws.example",
    "path-prefix": "/a/",
    "kind": "non_idempotent",
    "timeout": "5000ms",
    "target-latency": "1.5s",
    "priority": 2,
    "weighted-services": [
        {"service": "x", "weight": 90},
        {"service": "y", "weight": 10},
    ],
    "max-attempts": 2,
    "public": False,
}
CONFIG = {
    "version": "r12",
    "routes": {"r-1": ROUTE},
    "services": {"x": {"max-connections": 724}},
    "limits": {"max-header-bytes": 100, "idle-timeout": "15s"},
    "tenants": {
        "clubs": {"api-keys": ["k"], "priority": 0, "rate-per-s": 5, "burst": 7}
    },
    "later": 1,
}

field_names = st.sampled_from(sorted(ENTRY) + sorted(ROUTE))
json_values = st.recursive(
    st.none() | st.booleans() | st.integers(-5, 5) | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(sorted(ENTRY) + sorted(ROUTE)), inner, max_size=4
        )
    ),
    max_leaves=8,
)


class TestDecode(TestCase):
    def test_entry(self):
        server = decode_server("i-1", orjson.dumps(ENTRY), 9)
        named = (server.id, server.service, server.host, server.slots)
        self.assertEqual(("i-1", "draws", "10.0.0.1", 104), named)
        times = (server.warmup, server.started, server.revision)
        self.assertEqual((1.5, 1700000000000, 9), times)
        self.assertFalse(server.leaving)

    def test_broken_entries_name_the_field(self):
        broken = {
            "state": "resting",
            "slots": True,
            "address": "nowhere",
            "zone": None,
            "warmup-left": 7,
            "born": 1.5,
        }
        for name, value in broken.items():
            with self.subTest(name):
                entry = orjson.dumps({**ENTRY, name: value})
                error = self.assertRaises(DecodeError, decode_server, "i", entry, 1)
                self.assertIn(name, str(error))

    def test_configuration(self):
        config = decode_configuration(orjson.dumps(CONFIG))
        route, team = config.routes[0], config.teams[0]
        self.assertEqual(12, config.version)
        self.assertEqual(("draws.example", False), (route.host, route.idempotent))
        self.assertEqual((5.0, 1.5, 2), (route.timeout, route.latency_target, 2))
        self.assertEqual(
            [("x", 90), ("y", 10)],
            [(target.service, target.weight) for target in route.targets],
        )
        self.assertEqual((5.0, 7.0, 0), (team.rate, team.burst, team.priority))
        self.assertEqual(
            (100, 15.0), (config.limits.header_bytes, config.limits.idle_timeout)
        )
        self.assertEqual({"x": 724}, config.max_connections)

    @given(json_values)
    def test_anything_else_is_an_error_that_can_be_told(self, value):
        try:
            decode_server("i", orjson.dumps(value), 1)
        except DecodeError as error:
            self.assertNotEqual("", str(error))

    @given(st.binary(max_size=40))
    def test_any_bytes(self, value):
        for decode in (decode_configuration, lambda data: decode_server("i", data, 1)):
            try:
                decode(value)
            except DecodeError as error:
                self.assertNotEqual("", str(error))
