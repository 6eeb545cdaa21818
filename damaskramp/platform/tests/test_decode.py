"""Tests of decoding valid and broken documents of the store.

A value that can't be read must not disable the routes and teams beside it, admit
requests without a key, or let a non-idempotent request run twice.
"""

import copy

import orjson
from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from damaskramp.fleet import ServiceWarmup
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


def paths_of(value, path=()):
    """Yield the path of each value in a document."""
    items = value.items() if isinstance(value, dict) else enumerate(value)
    for key, inner in items:
        yield (*path, key)
        if isinstance(inner, dict | list):
            yield from paths_of(inner, (*path, key))


def insert(document, path, text):
    """Encode a document with a text of JSON in the place of one value."""
    changed = copy.deepcopy(document)
    place = changed
    for key in path[:-1]:
        place = place[key]
    place[path[-1]] = "inserted"
    return orjson.dumps(changed).replace(b'"inserted"', text.encode())


def read(**changes):
    """Decode the document above with some of its sections replaced."""
    return decode_configuration(orjson.dumps({**CONFIG, **changes}))


class TestDecode(TestCase):
    def test_server_entry(self):
        server = decode_server("i-1", orjson.dumps(ENTRY), 9)
        named = (server.id, server.service, server.host, server.slots)
        self.assertEqual(("i-1", "draws", "10.0.0.1", 104), named)
        times = (server.warmup, server.started, server.revision)
        self.assertEqual((1.5, 1700000000000, 9), times)
        self.assertFalse(server.leaving)

    def test_error_names_the_unreadable_field(self):
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

    def test_warmups_of_services(self):
        # A service without a tolerated rate has no limit, and an unreadable value must
        # not take the connections of its service away.
        services = {
            "cold": {"warmup": "3s", "warmup-per-s": 5.5, "health-path": "/h?a=1"},
            "plain": {"warmup": "3s", "warmup-per-s": 0, "health-path": "/h"},
            "bad": {
                "warmup": "soon",
                "warmup-per-s": 2,
                "health-path": "/a b\r\n",
                "max-connections": 4,
            },
            "negative": {"warmup-per-s": -1},
        }
        config = decode_configuration(orjson.dumps({**CONFIG, "services": services}))
        self.assertEqual(
            {
                "cold": ServiceWarmup(5.5, 3.0, "/h?a=1"),
                "bad": ServiceWarmup(2.0, 0.0, ""),
            },
            config.warmups,
        )
        self.assertEqual({"bad": 4}, config.max_connections)
        self.assertEqual(
            {
                "services.bad.warmup",
                "services.bad.health-path",
                "services.negative.warmup-per-s",
            },
            {finding.place.key for finding in config.findings},
        )

    def test_kinds_other_than_idempotent_are_not_repeated(self):
        for kind in ("non_idempotent", "upload", "resumable", None, 7, []):
            with self.subTest(kind):
                config = read(routes={"r-1": {**ROUTE, "kind": kind}})
                self.assertFalse(config.routes[0].idempotent)
                self.assertTrue(config.routes[0].usable)

    def test_unknown_kind_is_a_finding_and_the_routes_stay_in_force(self):
        unknown_kind = {**ROUTE, "kind": "resumable", "path-prefix": "/b/"}
        config = read(routes={"r-1": ROUTE, "r-2": unknown_kind})
        self.assertEqual(2, len(config.routes))
        self.assertEqual(["routes.r-2.kind"], [f.place.key for f in config.findings])

    def test_route_with_unreadable_services_is_not_usable(self):
        part = {"service": "x", "weight": 1}
        for parts in (
            7,
            [],
            [part, 7],
            [{"service": "x", "weight": "1"}],
            [{"service": 7, "weight": 1}],
            [{"service": "x", "weight": -1}],
            [{"service": "x", "weight": 0}],
        ):
            with self.subTest(parts):
                broken = {**ROUTE, "path-prefix": "/b/", "weighted-services": parts}
                config = read(routes={"r-1": ROUTE, "r-2": broken})
                usable = {route.name: route.usable for route in config.routes}
                self.assertEqual({"r-1": True, "r-2": False}, usable)
                self.assertTrue(config.routes_complete)

    def test_route_without_host_or_prefix_leaves_the_routes_incomplete(self):
        for name, value in (("host", 7), ("path-prefix", "b"), ("path-prefix", None)):
            with self.subTest(name):
                config = read(routes={"r-1": ROUTE, "r-2": {**ROUTE, name: value}})
                self.assertEqual(["r-1"], [route.name for route in config.routes])
                self.assertFalse(config.routes_complete)

    def test_home_regions_of_routes_and_teams(self):
        team = CONFIG["tenants"]["clubs"]
        for published, expected in (
            (["north", "south"], {"north", "south"}),
            ([], set()),
            (None, set()),
            (["north", 7, ""], {"north"}),
        ):
            with self.subTest(published):
                fields = {"allowed-regions": published}
                config = read(
                    routes={"r-1": {**ROUTE, **fields}},
                    tenants={"clubs": {**team, **fields}},
                )
                found = [*config.routes, *config.teams]
                self.assertEqual([expected] * 2, [set(f.home_regions) for f in found])
                self.assertEqual([True] * 2, [one.usable for one in found])

    def test_unreadable_home_regions_are_not_taken_for_all_regions(self):
        team = CONFIG["tenants"]["clubs"]
        for published in ("north", 7, {}, [7], [""], False, [None]):
            with self.subTest(published):
                fields = {"allowed-regions": published}
                config = read(
                    routes={"r-1": {**ROUTE, **fields}},
                    tenants={"clubs": {**team, **fields}},
                )
                self.assertFalse(config.routes[0].usable)
                self.assertFalse(config.teams[0].usable)
                self.assertTrue(config.routes_complete and config.keys_complete)

    def test_huge_durations_and_ports_are_rejected(self):
        """Long digit strings raise in int(), and timers can't wait for ever."""
        huge = "9" * 5000
        route = read(routes={"r-1": {**ROUTE, "timeout": huge + "s"}}).routes[0]
        self.assertEqual(5.0, route.timeout)
        limits = read(limits={"header-timeout": huge + "ms"}).limits
        self.assertLess(limits.header_timeout, 60)
        for address in (f"10.0.0.1:{huge}", "10.0.0.1:65536", "10.0.0.1:²"):
            entry = orjson.dumps({**ENTRY, "address": address})
            self.assertRaises(DecodeError, decode_server, "i", entry, 1)

    def test_deeply_nested_values_are_rejected_with_a_short_message(self):
        """Guards against errors of the message itself, which quotes the value.

        Such an error was no DecodeError, and one entry hid all others.
        """
        for nested in ("[" * 900 + "]" * 900, '{"a":' * 900 + "1" + "}" * 900):
            for name in ENTRY.keys() - {"version"}:
                document = insert(ENTRY, (name,), nested)
                error = self.assertRaises(DecodeError, decode_server, "i", document, 1)
                self.assertLess(len(str(error)), 300)
            for path in paths_of(CONFIG):
                document = insert(CONFIG, path, nested)
                if path == ("version",):
                    self.assertRaises(DecodeError, decode_configuration, document)
                    continue
                for finding in decode_configuration(document).findings:
                    self.assertLess(len(str(finding)), 300)

    def test_entries_that_name_no_host_or_id_are_rejected(self):
        for field, value in (
            ("address", "10.0.0.1:0"),
            ("address", "0.0.0.0:80"),
            ("address", "224.0.0.1:80"),
            ("address", "255.255.255.255:80"),
            ("slots", 65_536),
            ("slots", 2**64 - 1),
            ("slots", 1e300),
        ):
            entry = orjson.dumps({**ENTRY, field: value})
            self.assertRaises(DecodeError, decode_server, "i", entry, 1)
        for name in ("", "i\r\nX-Tenant: b", "i\x00"):
            self.assertRaises(DecodeError, decode_server, name, orjson.dumps(ENTRY), 1)

    def test_unreadable_bounds_of_a_route_get_the_safest_value(self):
        broken = {**ROUTE, "max-attempts": "2", "priority": None, "public": 1}
        broken |= {"timeout": 5, "target-latency": []}
        least = {**ROUTE, "priority": 4, "path-prefix": "/b/"}
        route = read(routes={"r-1": broken, "r-2": least}).routes[0]
        self.assertEqual((1, 4, False), (route.attempts, route.priority, route.public))
        self.assertEqual((5.0, 5.0), (route.timeout, route.latency_target))

    def test_team_with_an_unreadable_rate_is_not_usable(self):
        team = CONFIG["tenants"]["clubs"]
        for rate in ("5", -1, True, [5]):
            with self.subTest(rate):
                broken = {**team, "api-keys": ["b"], "rate-per-s": rate}
                config = read(tenants={"clubs": team, "rooms": broken})
                usable = [(t.name, t.usable) for t in config.teams]
                self.assertEqual([("clubs", True), ("rooms", False)], usable)
                self.assertTrue(config.keys_complete)

    def test_unreadable_keys_are_reported_without_their_values(self):
        for team in (7, {"api-keys": "k"}, {"api-keys": ["k2", ["secret"]]}):
            with self.subTest(team):
                config = read(tenants={**CONFIG["tenants"], "rooms": team})
                self.assertFalse(config.keys_complete)
                self.assertIn("k", config.teams[0].keys)
                messages = " ".join(str(finding) for finding in config.findings)
                self.assertNotIn("secret", messages)

    def test_unreadable_teams_still_require_keys(self):
        for teams in (7, [], "none"):
            self.assertTrue(read(tenants=teams).needs_keys)
        self.assertFalse(read(tenants={}).needs_keys)

    def test_unreadable_section_leaves_the_others_in_force(self):
        for section in ("routes", "tenants", "limits", "services"):
            with self.subTest(section):
                config = read(**{section: 7})
                self.assertEqual(12, config.version)
                self.assertEqual(section != "routes", bool(config.routes))
                self.assertEqual(section != "tenants", bool(config.teams))
                self.assertEqual([section], [f.place.key for f in config.findings])

    def test_document_without_a_valid_version_is_an_error(self):
        for version in (None, 12, "12", "r", "r-1", "r²", ["r1"], "r" + "9" * 5000):
            with self.subTest(version):
                self.assertRaises(DecodeError, read, version=version)

    @given(st.data(), json_values)
    def test_one_unreadable_value_affects_no_other_route_or_team(self, data, value):
        document = copy.deepcopy(CONFIG)
        document["routes"]["r-2"] = {**ROUTE, "path-prefix": "/b/"}
        document["tenants"]["rooms"] = {"api-keys": ["kept"], "rate-per-s": 9}
        table = data.draw(st.sampled_from(["routes", "tenants"]))
        name = {"routes": "r-2", "tenants": "rooms"}[table]
        entry = document[table][name]
        key = data.draw(st.sampled_from([None, *sorted(entry)]))
        if key is None:
            document[table][name] = value
        else:
            entry[key] = value
        config = decode_configuration(orjson.dumps(document))
        self.assertEqual(
            ("r-1", True), (config.routes[0].name, config.routes[0].usable)
        )
        self.assertEqual(
            ("clubs", True), (config.teams[0].name, config.teams[0].usable)
        )
        keys = set().union(*(team.keys for team in config.teams))
        self.assertNotIn("withdrawn", keys)

    @given(json_values)
    def test_arbitrary_json_raises_only_decode_errors_with_a_message(self, value):
        try:
            decode_server("i", orjson.dumps(value), 1)
        except DecodeError as error:
            self.assertNotEqual("", str(error))

    @given(st.binary(max_size=40))
    def test_arbitrary_bytes_raise_only_decode_errors_with_a_message(self, value):
        for decode in (decode_configuration, lambda data: decode_server("i", data, 1)):
            try:
                decode(value)
            except DecodeError as error:
                self.assertNotEqual("", str(error))
