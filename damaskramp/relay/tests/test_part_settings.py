"""Settings of parts that follow from each other."""

from dataclasses import replace

from testtools import TestCase

from damaskramp.relay.part_settings import (
    evacuations_of,
    key_max_age,
    watcher_settings,
    with_fixed_settings,
)
from damaskramp.relay.settings import RelaySettings

SETTINGS = RelaySettings(
    host="h",
    zone="a",
    callers="127.0.0.1:1",
    peers="127.0.0.1:2",
    readiness="127.0.0.1:3",
    metrics="127.0.0.1:4",
    backend_service="draws",
    backend_address="127.0.0.1:5",
    platform_address="127.0.0.1:6",
    revoke_seconds=5.0,
)


class TestPartSettings(TestCase):
    def test_a_poll_may_be_lost_before_keys_stop_working(self):
        polls = watcher_settings(SETTINGS)
        self.assertLess(2 * polls.poll_seconds, key_max_age(SETTINGS))

    def test_evacuations_take_effect_in_time_where_the_watch_is_silent(self):
        """Keys alone would allow polls so rare that an evacuation comes too late."""
        settings = replace(SETTINGS, revoke_seconds=60.0, evacuation_seconds=5.0)
        self.assertLess(2 * watcher_settings(settings).poll_seconds, 5.0)

    def test_keys_work_however_short_the_time_to_revoke_them_is(self):
        self.assertEqual(0.5, key_max_age(replace(SETTINGS, revoke_seconds=0.1)))

    def test_evacuations_are_followed_only_where_their_time_is_set(self):
        self.assertIsNone(evacuations_of(SETTINGS))
        settings = replace(SETTINGS, evacuation_seconds=5.0)
        self.assertIsNotNone(evacuations_of(settings))

    def test_a_reload_changes_no_address(self):
        """A node that believed in a new address would still listen at the old one."""
        read = replace(SETTINGS, peers="127.0.0.1:9", revoke_seconds=9.0)
        kept = with_fixed_settings(read, SETTINGS)
        self.assertEqual(("127.0.0.1:2", 9.0), (kept.peers, kept.revoke_seconds))
