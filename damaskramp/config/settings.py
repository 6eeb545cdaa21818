"""Settings of ``damaskramp-node``."""

import ipaddress
from typing import Annotated, Literal

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    field_validator,
    model_validator,
)

from damaskramp.tls.settings import TlsSettings

__all__ = [
    "Address",
    "AdmissionSettings",
    "BackendSettings",
    "BalancingSettings",
    "DedupSettings",
    "LimitSettings",
    "ListenSettings",
    "LogSettings",
    "MembershipTimes",
    "NodeIdentity",
    "NodeSettings",
    "PlatformSettings",
    "QuarantineSettings",
    "QuotaSection",
    "RetrySettings",
    "Settings",
    "TrustSettings",
]

MIB = 1024 * 1024


class Settings(BaseModel):
    """Base class of all settings models: immutable; unknown keys are rejected."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)


def _check_address(value: str) -> str:
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        raise ValueError("must be an IP address and a port, as 10.0.0.1:8080") from None
    if not port.isdigit() or not 0 <= int(port) <= 65535:
        raise ValueError("port must be a number from 0 to 65535")
    return value


Address = Annotated[str, AfterValidator(_check_address)]
"""``IP:PORT`` as text."""

Name = Annotated[str, Field(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9._-]+$")]
"""Short identifier of letters, digits, dot, underscore and hyphen."""

PositiveSeconds = Annotated[float, Field(gt=0, strict=False)]
Fraction = Annotated[float, Field(ge=0, le=1, strict=False)]
Count = Annotated[int, Field(ge=1)]


class NodeIdentity(Settings):
    """Identity of the node.

    Attributes
    ----------
    host : str
        Name of the backend server host.
    zone : str
        Availability zone of the host.
    """

    host: Name
    zone: Name


class ListenSettings(Settings):
    """Addresses that the node listens on."""

    http: Address
    peer: Address
    admin: Address


class BackendSettings(Settings):
    """The backend server on this host."""

    service: Name
    address: Address


class PlatformSettings(Settings):
    """Connection to the platform, which publishes the configuration and the hosts."""

    address: Address
    bundle_name: Name = "bundle"
    watch_seconds: PositiveSeconds = 25.0
    hosts_poll_seconds: PositiveSeconds = 5.0
    retry_seconds: PositiveSeconds = 1.0


class TrustSettings(Settings):
    """Public keys that are trusted to sign bundles."""

    public_keys: Annotated[tuple[str, ...], Field(min_length=1, strict=False)]

    @field_validator("public_keys")
    @classmethod
    def _check_keys(cls, keys: tuple[str, ...]) -> tuple[str, ...]:
        for key in keys:
            if len(key) != 64 or not set(key) <= set("0123456789abcdef"):
                raise ValueError("each key must be 64 hexadecimal digits")
        return keys


class LimitSettings(Settings):
    """Resource limits and timeouts of one node.

    Attributes
    ----------
    whole_answer_bytes : int
        Size up to which an answer is read completely before its first byte is
        sent on.
    lame_duck_seconds : float
        Time for which a stopping node still accepts requests from callers and
        asks each caller to close its connection.
    quiet_seconds : float
        Time without a call from another node after which a stopping node may
        close.
    drain_seconds : float
        Maximum time that a stopping node waits after `lame_duck_seconds`.
    """

    connections: Annotated[int, Field(gt=0)] = 1024
    body_bytes: Annotated[int, Field(gt=0)] = 4 * MIB
    whole_answer_bytes: Annotated[int, Field(gt=0)] = 1 * MIB
    header_bytes: Annotated[int, Field(gt=0)] = 16 * 1024
    header_seconds: PositiveSeconds = 10.0
    idle_seconds: PositiveSeconds = 75.0
    lame_duck_seconds: Annotated[float, Field(ge=0, strict=False)] = 3.0
    quiet_seconds: Annotated[float, Field(ge=0, strict=False)] = 1.0
    drain_seconds: PositiveSeconds = 20.0
    depth: Annotated[int, Field(gt=0, le=64)] = 32


class AdmissionSettings(Settings):
    """Admission of calls to the backend server, and early refusal at the entry.

    Attributes
    ----------
    mode : str
        ``adaptive``; ``fixed`` for a fixed limit without a queue; ``none`` for no
        limit. Only ``adaptive`` sheds by priority and refuses early.
    fixed_limit : int
        Concurrent calls in the mode ``fixed``.
    minimum_limit : int
        Lower bound of the adaptive limit.
    queue_factor : float
        Number of calls that may wait for each call that may run.
    queue_interval_seconds : float
        Maximum wait while the queue has recently been empty.
    queue_target_seconds : float
        Maximum wait while the queue has not been empty recently.
    order_seconds : float
        Window in which no call is shed while a call of a less important class is
        admitted.
    level_seconds : float
        Interval between two updates of the shed levels.
    level_age_seconds : float
        Age at which a shed level that another node reported starts to lose effect
        at the entry.
    retry_after_seconds : float
        Middle of the range of retry-after hints when the load is twice the
        capacity.
    """

    mode: Literal["adaptive", "fixed", "none"] = "adaptive"
    fixed_limit: Annotated[int, Field(gt=0)] = 64
    minimum_limit: Annotated[int, Field(gt=0)] = 2
    queue_factor: Annotated[float, Field(gt=0, strict=False)] = 4.0
    queue_interval_seconds: PositiveSeconds = 0.1
    queue_target_seconds: PositiveSeconds = 0.02
    order_seconds: PositiveSeconds = 0.1
    level_seconds: PositiveSeconds = 0.1
    level_age_seconds: PositiveSeconds = 1.0
    retry_after_seconds: PositiveSeconds = 0.5


class BalancingSettings(Settings):
    """Load balancing over the backend servers of a service.

    Attributes
    ----------
    seed : int
        Seed of the random choices, mixed with the name of the host.
    near_subset, far_subset : int
        Number of backend servers of one service that this node sends to: in its
        own zone, and in all other zones together.
    spill_ratio, spill_seconds : float
        Factor and difference by which the expected time in another zone must be
        below that in the own zone before the other zone is also used.
    latency_half_life_seconds : float
        Time in which an observed latency loses half of its weight.
    load_seconds : float
        Age at which a load report or a refusal is ignored.
    failures : int
        Consecutive failures before ejection is considered.
    failure_margin : float
        Difference by which the failure ratio of a backend server must exceed that
        of its peers before it is ejected.
    eject_seconds, eject_limit_seconds : float
        Duration of the first ejection, which doubles with each further one, and
        the maximum duration.
    eject_share : float
        Maximum fraction of a service's backend servers that are ejected at once.
    ramp_seconds : float
        Duration of the slow start, after which a cold backend server has its full
        share of the load.
    ramp_floor : float
        Fraction of the full share with which the slow start begins.
    leaving_seconds : float
        Time for which a backend server that announced that it is leaving gets no
        new requests.
    """

    seed: Annotated[int, Field(ge=0)] = 0
    near_subset: Count = 8
    far_subset: Count = 4
    spill_ratio: Annotated[float, Field(ge=1, strict=False)] = 3.0
    spill_seconds: PositiveSeconds = 0.005
    latency_half_life_seconds: PositiveSeconds = 5.0
    load_seconds: PositiveSeconds = 1.0
    failures: Count = 3
    failure_margin: Fraction = 0.3
    eject_seconds: PositiveSeconds = 1.0
    eject_limit_seconds: PositiveSeconds = 30.0
    eject_share: Fraction = 0.5
    ramp_seconds: PositiveSeconds = 10.0
    ramp_floor: Fraction = 0.1
    leaving_seconds: PositiveSeconds = 10.0


class RetrySettings(Settings):
    """Retries and retry-after hints.

    Attributes
    ----------
    seed : int
        Seed of the jitter, mixed with the name of the host.
    burst : int
        Maximum number of unspent retries that one team accumulates at this node.
    backoff_seconds, backoff_limit_seconds : float
        Upper bound of the first wait, which doubles with each retry, and of the
        longest wait.
    redirects : int
        Number of times that one hop is redirected to another host without being
        charged to the retry budget.
    hint_spread_seconds : float
        Minimum width of the interval over which hints are spread.
    """

    seed: Annotated[int, Field(ge=0)] = 0
    burst: Count = 20
    backoff_seconds: PositiveSeconds = 0.01
    backoff_limit_seconds: PositiveSeconds = 0.25
    redirects: Annotated[int, Field(ge=0)] = 3
    hint_spread_seconds: PositiveSeconds = 2.0


class QuarantineSettings(Settings):
    """Quarantine of requests that crash the backend servers that run them.

    Attributes
    ----------
    deaths : int
        Number of backend servers that a request may crash before it is refused.
    suspect_seconds : float
        Duration of a suspicion.
    quarantine_seconds : float
        Time for which a request is refused after the last crash.
    suspects : int
        Maximum number of suspicions; the oldest are dropped first.
    suspects_per_death : int
        Maximum number of requests that become suspects of one crash; the newest
        are chosen first.
    confirm_seconds : float
        Time limit for finding out whether the backend server has died.
    """

    deaths: Annotated[int, Field(ge=2)] = 2
    suspect_seconds: PositiveSeconds = 120.0
    quarantine_seconds: PositiveSeconds = 600.0
    suspects: Count = 4096
    suspects_per_death: Count = 128
    confirm_seconds: PositiveSeconds = 0.25


class DedupSettings(Settings):
    """Limits on the state that is kept for at-most-once execution.

    Attributes
    ----------
    claims : int
        Maximum number of claims; further ones are refused.
    answer_bytes : int
        Maximum total size of the finished answers kept for repeats, in bytes.
    clock_skew_seconds : float
        Maximum difference between the clocks of a caller and of this host.
    """

    claims: Annotated[int, Field(gt=0)] = 100_000
    answer_bytes: Annotated[int, Field(ge=0)] = 32 * MIB
    clock_skew_seconds: PositiveSeconds = 2.0


class MembershipTimes(Settings):
    """Timing of membership and ownership.

    Attributes
    ----------
    period_seconds : float
        Time between two probes of one node.
    silence_seconds : float
        Silence after which a member loses the resources that it owns. It must
        exceed the lag of the host list and be at least 16 probe periods.
    """

    period_seconds: PositiveSeconds = 1.0
    silence_seconds: PositiveSeconds = 16.0

    @property
    def retire_seconds(self) -> float:
        """Time for which a leaving owner still acts.

        The other nodes assume a longer time.
        """
        return 0.9 * self.silence_seconds / 4

    @model_validator(mode="after")
    def _check_silence(self) -> "MembershipTimes":
        if self.silence_seconds < 16 * self.period_seconds:
            raise ValueError("silence_seconds must be at least 16 times period_seconds")
        return self


class QuotaSection(Settings):
    """Quota leases; the settings must be equal on all nodes of a fleet.

    Attributes
    ----------
    lease_seconds : float
        Validity of a lease, and the time for which a new owner issues no leases.
    wait_seconds : float
        Maximum time that a request waits for a permit.
    lending : bool
        Whether zones lend permits to each other.
    """

    lease_seconds: PositiveSeconds = 2.0
    wait_seconds: PositiveSeconds = 0.5
    lending: bool = True


class LogSettings(Settings):
    """Logging."""

    level: Literal["debug", "info", "warning", "error"] = "info"


class NodeSettings(Settings):
    """All settings of one node."""

    node: NodeIdentity
    listen: ListenSettings
    backend: BackendSettings | None = None
    platform: PlatformSettings
    trust: TrustSettings
    tls: TlsSettings = TlsSettings()
    limits: LimitSettings = LimitSettings()
    admission: AdmissionSettings = AdmissionSettings()
    balancing: BalancingSettings = BalancingSettings()
    retries: RetrySettings = RetrySettings()
    quarantine: QuarantineSettings = QuarantineSettings()
    dedup: DedupSettings = DedupSettings()
    membership: MembershipTimes = MembershipTimes()
    quota: QuotaSection = QuotaSection()
    log: LogSettings = LogSettings()
