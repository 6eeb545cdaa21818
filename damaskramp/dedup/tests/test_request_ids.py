"""Request ids are read strictly and bound to their team."""

from hypothesis import given, settings
from hypothesis import strategies as st

from damaskramp.core import HostId, Incarnation, VirtualTimers, ZoneName
from damaskramp.dedup import IssuedId, RequestIdIssuer, claim_key, parse_request_id
from damaskramp.testing import LoopTestCase

NAMES = st.from_regex(r"[A-Za-z0-9._-]{1,20}", fullmatch=True)
TEXTS = st.text(max_size=60)


def mint(
    zone: str = "z1", host: str = "h1", born: float = 5.0, secret: bytes = b"s"
) -> tuple[RequestIdIssuer, VirtualTimers]:
    """Mint of a node that started at `born`."""
    timers = VirtualTimers(born)
    made = RequestIdIssuer(
        timers, ZoneName(zone), HostId(host), Incarnation(77), secret
    )
    return made, timers


class RequestIdTests(LoopTestCase):
    @settings(derandomize=True, deadline=None)
    @given(NAMES, NAMES, st.floats(0, 1e6), TEXTS)
    def test_issued_ids_are_read_back(self, zone, host, after, scope):
        made, timers = mint(zone, host)
        timers.advance(after)
        issued = parse_request_id(made.issue(scope)).ok
        self.assertIsInstance(issued, IssuedId)
        self.assertEqual((zone, host, 77), (issued.zone, issued.host, 77))
        self.assertTrue(made.is_home_of(issued))
        self.assertTrue(made.verify(scope, issued))
        self.assertFalse(made.verify(scope + "x", issued))
        self.assertTrue(0 <= timers.now - made.issued_at(issued) < 0.002)

    @settings(derandomize=True, deadline=None)
    @given(st.integers(0, 200), st.characters(codec="ascii"))
    def test_a_changed_character_is_refused(self, place, character):
        made, _ = mint()
        text = made.issue("clubs")
        place %= len(text)
        changed = text[:place] + character + text[place + 1 :]
        if changed == text or not changed.startswith("drq1~"):
            return
        parsed = parse_request_id(changed)
        refused = parsed.is_error() or not made.verify("clubs", parsed.ok)
        self.assertTrue(refused or not made.is_home_of(parsed.ok))

    def test_each_id_is_new(self):
        made, _ = mint()
        self.assertEqual(1000, len({made.issue("clubs") for _ in range(1000)}))

    def test_other_incarnation_verifies_nothing(self):
        made, _ = mint()
        other, _ = mint(secret=b"other")
        self.assertFalse(
            other.verify("clubs", parse_request_id(made.issue("clubs")).ok)
        )

    def test_malformed_ids(self):
        long = "x" * 129
        for text in ("", " ", "a b", "é", long, "drq1~", "drq1~z~h~1~1~1~00"):
            self.assertTrue(parse_request_id(text).is_error(), text)
        for text in ("drz1~z", "drz1~~x", "drz1~z~", "drz1~a/b~x", "drz1~z~" + long):
            self.assertTrue(parse_request_id(text).is_error(), text)
        issued = mint()[0].issue("clubs")
        padded = issued.replace("~4d~", "~04d~")
        self.assertNotEqual(issued, padded)
        self.assertTrue(parse_request_id(padded).is_error())

    @settings(derandomize=True, deadline=None)
    @given(NAMES, TEXTS, NAMES, TEXTS)
    def test_scopes_never_meet(self, first, first_id, second, second_id):
        same = (first, first_id) == (second, second_id)
        keys_equal = claim_key(first, first_id) == claim_key(second, second_id)
        self.assertEqual(same, keys_equal)
