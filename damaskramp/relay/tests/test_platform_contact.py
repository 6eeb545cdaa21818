"""Outages of the platform, after which live servers may be missing from it."""

from testtools import TestCase

from damaskramp.fleet import SourceError
from damaskramp.relay.platform_contact import PlatformContact

LOST = SourceError("refused")


class TestPlatformContact(TestCase):
    def setUp(self):
        super().setUp()
        self.contact = PlatformContact()

    def test_an_outage_is_reported_once_and_from_its_first_failure(self):
        self.contact.record_reached()
        for asked_at in (10.0, 10.6, 11.2):
            self.contact.record_lost(asked_at, LOST)
        self.assertFalse(self.contact.reachable)
        ends = [self.contact.ends_outage(11.5) for _ in range(2)]
        self.assertEqual([True, False], ends)

    def test_a_short_outage_changes_nothing(self):
        """Descriptions live longer, so that a missing server has left."""
        self.contact.record_reached()
        self.contact.record_lost(10.0, LOST)
        self.assertFalse(self.contact.ends_outage(10.9))

    def test_a_node_that_starts_without_the_platform_knows_no_outage(self):
        self.contact.record_lost(10.0, LOST)
        self.assertFalse(self.contact.ends_outage(60.0))
        self.contact.record_reached()
        self.assertTrue(self.contact.reachable)
