"""Settings of `placement_model`, and its kinds of requests."""

from dataclasses import dataclass

__all__ = ["Kind", "ModelSettings"]


@dataclass(frozen=True, slots=True)
class Kind:
    """Kind of requests; times in seconds, `spread` of the logarithm of run times."""

    name: str
    is_call: bool
    priority: int
    mean: float
    spread: float
    target: float
    deadline: float
    share: float

    @property
    def rank(self) -> int:
        """Rank as entry hosts use it."""
        return 0 if self.is_call else 1 + self.priority


KINDS = (
    Kind("lookup", True, 0, 0.012, 0.4, 0.1, 0.5, 0.85),
    Kind("order", False, 0, 0.1, 0.4, 0.5, 2.0, 0.05),
    Kind("list", False, 2, 0.1, 0.4, 0.5, 2.0, 0.10),
)


@dataclass(frozen=True, slots=True)
class ModelSettings:
    """Settings of the model; times in seconds.

    Attributes
    ----------
    load : float
        Demand as a part of what all servers can run while no neighbour is noisy.
    far_zones : frozenset
        Zones that are 5.4 ms from the others; the others are 1.4 ms apart.
    noise_share, noise_seconds, noise_factor : float
        Part of the time for which a host is slowed, length of one such time, and the
        factor by which runs take longer.
    wave : float
        Part of a zone's demand that moves to other zones and back, 0 to 1.
    """

    load: float = 0.6
    zones: tuple[str, ...] = ("z0", "z1", "z2")
    far_zones: frozenset[str] = frozenset({"z2"})
    servers_per_zone: int = 5
    slots: int = 8
    entries_per_zone: int = 12
    speeds: tuple[float, ...] = (0.5, 0.8, 1.0, 1.2, 1.6)
    kinds: tuple[Kind, ...] = KINDS
    noise_share: float = 0.15
    noise_seconds: float = 0.6
    noise_factor: float = 2.5
    wave: float = 0.6
    wave_seconds: float = 6.0
    states_pace: bool = True

    def link_seconds(self, zone: str, other: str) -> float:
        """One-way delay between hosts of two zones."""
        if zone == other:
            return 0.0003
        return (
            0.0054 if (zone in self.far_zones) != (other in self.far_zones) else 0.0014
        )
