"""Tests that request ids are parsed strictly and are bound to their team."""

from hypothesis import given, settings
from hypothesis import strategies as st

from damaskramp.core import HostId, Incarnation, VirtualTimers, ZoneName
from damaskramp.dedup import IssuedId, RequestIdIssuer, claim_key, parse_request_id
from damaskramp.testing import LoopTestCase

NAMES = st.from_regex(r"[A-Za-z0-9._-]{1,20}", fullmatch=True)
TEXTS = st.text(max_size=60)


def make_issuer(
    zone: str = "z1", host: str = "h1", started_at: float = 5.0, secret: bytes = b"s"
) -> tuple[RequestIdIssuer, VirtualTimers]:
    """Return the issuer and the clock of a node that started at `started_at`."""
    timers = VirtualTimers(started_at)
    issuer = RequestIdIssuer(
        timers, ZoneName(zone), HostId(host), Incarnation(77), secret
    )
    return issuer, timers


class RequestIdTests(LoopTestCase):
    @settings(derandomize=True, deadline=None)
    @given(NAMES, NAMES, st.floats(0, 1e6), TEXTS)
    def test_issued_ids_parse_to_their_parts(self, zone, host, after, scope):
        issuer, timers = make_issuer(zone, host)
        timers.advance(after)
        issued = parse_request_id(issuer.issue(scope)).ok
        self.assertIsInstance(issued, IssuedId)
        self.assertEqual((zone, host, 77), (issued.zone, issued.host, 77))
        self.assertTrue(issuer.is_home_of(issued))
        self.assertTrue(issuer.verify(scope, issued))
        self.assertFalse(issuer.verify(scope + "x", issued))
        self.assertTrue(0 <= timers.now - issuer.issued_at(issued) < 0.002)

    @settings(derandomize=True, deadline=None)
    @given(st.integers(0, 200), st.characters(codec="ascii"))
    def test_a_changed_character_is_refused(self, position, character):
        issuer, _ = make_issuer()
        text = issuer.issue("clubs")
        position %= len(text)
        changed = text[:position] + character + text[position + 1 :]
        if changed == text or not changed.startswith("drq1~"):
            return
        parsed = parse_request_id(changed)
        refused = parsed.is_error() or not issuer.verify("clubs", parsed.ok)
        self.assertTrue(refused or not issuer.is_home_of(parsed.ok))

    def test_each_id_is_new(self):
        issuer, _ = make_issuer()
        self.assertEqual(1000, len({issuer.issue("clubs") for _ in range(1000)}))

    def test_other_incarnation_verifies_nothing(self):
        issuer, _ = make_issuer()
        other, _ = make_issuer(secret=b"other")
        self.assertFalse(
            other.verify("clubs", parse_request_id(issuer.issue("clubs")).ok)
        )

    def test_malformed_ids(self):
        long = "x" * 129
        for text in ("", " ", "a b", "é", long, "drq1~", "drq1~z~h~1~1~1~00"):
            self.assertTrue(parse_request_id(text).is_error(), text)
        for text in ("drz1~z", "drz1~~x", "drz1~z~", "drz1~a/b~x", "drz1~z~" + long):
            self.assertTrue(parse_request_id(text).is_error(), text)
        issued = make_issuer()[0].issue("clubs")
        padded = issued.replace("~4d~", "~04d~")
        self.assertNotEqual(issued, padded)
        self.assertTrue(parse_request_id(padded).is_error())

    @settings(derandomize=True, deadline=None)
    @given(NAMES, TEXTS, NAMES, TEXTS)
    def test_scopes_never_share_claim_keys(self, first, first_id, second, second_id):
        same = (first, first_id) == (second, second_id)
        keys_equal = claim_key(first, first_id) == claim_key(second, second_id)
        self.assertEqual(same, keys_equal)
