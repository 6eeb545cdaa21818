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

__all__ = [
    "Address",
    "AdmissionSettings",
    "BackendSettings",
    "LimitSettings",
    "ListenSettings",
    "LogSettings",
    "MembershipTimes",
    "NodeIdentity",
    "NodeSettings",
    "PlatformSettings",
    "Settings",
    "TrustSettings",
]

MIB = 1024 * 1024


class Settings(BaseModel):
    """Base of all settings: immutable, unknown keys refused."""

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


class NodeIdentity(Settings):
    """Who this node is.

    Attributes
    ----------
    host : str
        Name of the backend server host.
    zone : str
        Availability zone that the host stands in.
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
    """Where the platform publishes configuration and hosts."""

    address: Address
    bundle_name: Name = "bundle"
    watch_seconds: PositiveSeconds = 25.0
    hosts_poll_seconds: PositiveSeconds = 2.0
    retry_seconds: PositiveSeconds = 1.0


class TrustSettings(Settings):
    """Public keys whose signature makes a bundle valid."""

    public_keys: Annotated[tuple[str, ...], Field(min_length=1, strict=False)]

    @field_validator("public_keys")
    @classmethod
    def _check_keys(cls, keys: tuple[str, ...]) -> tuple[str, ...]:
        for key in keys:
            if len(key) != 64 or not set(key) <= set("0123456789abcdef"):
                raise ValueError("each key must be 64 hexadecimal digits")
        return keys


class LimitSettings(Settings):
    """Bounds on what one node holds.

    Attributes
    ----------
    whole_answer_bytes : int
        Answers up to this size are read whole before their first byte is sent.
    lame_duck_seconds : float
        Time that a stopping node goes on taking requests from callers, asking
        each to close its connection.
    quiet_seconds : float
        Time without a call from another node after which a stopping node may
        close.
    drain_seconds : float
        Longest time that a stopping node waits after that.
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
    """How calls are admitted to the backend server and refused at the entry.

    Attributes
    ----------
    mode : str
        ``adaptive``; ``fixed`` for a fixed limit without a queue; ``none`` for no
        limit. Only ``adaptive`` sheds by priority and refuses early.
    fixed_limit : int
        Calls at once in the mode ``fixed``.
    minimum_limit : int
        The adaptive limit never falls below this.
    queue_factor : float
        Calls that may wait for each call that may run.
    queue_interval_seconds : float
        Longest wait while the queue has been empty lately.
    queue_target_seconds : float
        Longest wait while the queue stands.
    order_seconds : float
        Window in which no call is shed while one of a lesser class is admitted.
    level_seconds : float
        Period in which shed levels are worked out anew.
    level_age_seconds : float
        Age from which a level heard of begins to lose force at the entry.
    retry_after_seconds : float
        Middle of the spread of retry-after hints at twice the capacity.
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


class MembershipTimes(Settings):
    """Times of membership and ownership.

    Attributes
    ----------
    period_seconds : float
        Time between two probes of one node.
    silence_seconds : float
        Silence after which a member loses what it owns; above the lag of the host
        list and above 16 periods.
    """

    period_seconds: PositiveSeconds = 1.0
    silence_seconds: PositiveSeconds = 16.0

    @model_validator(mode="after")
    def _check_silence(self) -> "MembershipTimes":
        if self.silence_seconds < 16 * self.period_seconds:
            raise ValueError("silence_seconds must be at least 16 times period_seconds")
        return self


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
    limits: LimitSettings = LimitSettings()
    admission: AdmissionSettings = AdmissionSettings()
    membership: MembershipTimes = MembershipTimes()
    log: LogSettings = LogSettings()
