"""Settings of a relay node's parts, derived from the settings of the node."""

from dataclasses import replace

from damaskramp.dispatch import RetryBudgetSettings, WarmupSettings
from damaskramp.fleet import Evacuations, EvacuationTerms
from damaskramp.relay.settings import RelaySettings
from damaskramp.relay.watcher import WatcherSettings

__all__ = [
    "evacuations_of",
    "key_max_age",
    "retry_budget_settings",
    "warmup_settings",
    "watcher_settings",
    "with_fixed_settings",
]

KEY_REVOCATION_MARGIN_SECONDS = 1.5
"""Margin, in seconds, of the time within which a withdrawn key must stop working. A
watch may report a change one second late; the rest covers clocks and the way to the
server."""

MIN_KEY_MAX_AGE_SECONDS = 0.5
"""Lower bound, in seconds, on the longest age of the configuration at which keys are
honoured. Below this bound, no key would ever work."""

POLL_INTERVAL_SHARE = 0.4
"""Interval between a reader's polls, as a part of the longest age of the configuration
at which keys are honoured. The proofs of a zone's readers reach its hosts within one
gossip round, so one poll may be lost."""

FIXED_SETTINGS = (
    "host",
    "zone",
    "callers",
    "peers",
    "bind_peers",
    "readiness",
    "metrics",
    "backend_service",
    "backend_address",
    "platform_address",
    "warmup_overshoot",
    "warmup_slack",
    "log_lines_per_second",
    "region",
    "zone_regions",
    "evacuation_seconds",
    "chain_control",
)
"""Settings that take effect only when a node starts."""


def with_fixed_settings(read: RelaySettings, in_force: RelaySettings) -> RelaySettings:
    """Settings that were read again, with the fixed ones as they are in force."""
    return replace(read, **{name: getattr(in_force, name) for name in FIXED_SETTINGS})


def key_max_age(settings: RelaySettings) -> float:
    """Longest age of the configuration at which keys are honoured, in seconds."""
    return max(
        MIN_KEY_MAX_AGE_SECONDS, settings.revoke_seconds - KEY_REVOCATION_MARGIN_SECONDS
    )


def evacuations_of(settings: RelaySettings) -> Evacuations | None:
    """Create the state of evacuations; None where zones are not evacuated."""
    if settings.evacuation_seconds is None:
        return None
    return Evacuations(EvacuationTerms(settings.evacuation_seconds))


def watcher_settings(settings: RelaySettings) -> WatcherSettings:
    """Intervals at which the platform is read."""
    max_age = key_max_age(settings)
    # Evacuations must take effect in time also where a watch is silent.
    in_time = min(max_age, settings.evacuation_seconds or max_age)
    return WatcherSettings(in_time * POLL_INTERVAL_SHARE, in_time / 2)


def retry_budget_settings(settings: RelaySettings) -> RetryBudgetSettings:
    """Bounds on retries."""
    return RetryBudgetSettings(
        settings.retry_ratio, settings.retry_window, settings.retry_allowance
    )


def warmup_settings(settings: RelaySettings) -> WarmupSettings:
    """Bound on the requests to cold backend servers."""
    return WarmupSettings(settings.warmup_overshoot, settings.warmup_slack)
