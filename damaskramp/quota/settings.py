"""Settings of leases, loans and waits."""

from dataclasses import dataclass

__all__ = ["QuotaSettings"]


@dataclass(frozen=True, slots=True)
class QuotaSettings:
    """Settings that are the same on every node of a fleet.

    Attributes
    ----------
    lease_seconds : float
        Validity of a lease, and the time that a new owner without a handover waits
        before it issues leases.
    spot_seconds : float
        Validity of a spot lease, granted for requests that are waiting.
    drift : float
        Relative error of clock rates that a lender allows for.
    wait_seconds : float
        Longest time that a request waits for a permit.
    renew_fraction : float
        Fraction of a lease's validity after which it is renewed.
    leased_rate : float
        Fraction of a share's rate that standing leases may take.
    leased_capacity : float
        Fraction of a share's burst that standing leases may take.
    min_gap_seconds : float
        Shortest time between two asks for one team.
    loan_gap_seconds : float
        Shortest time between two asks to another zone while requests wait for a loan.
    asks_per_second : float
        Asks a second for waiting requests that an owner accepts for one team.
    answer_seconds : float
        Time after which an unanswered ask is sent again.
    refill_seconds : float
        Shortest time between two asks that only refill a lease.
    tick_seconds : float
        Time between two checks for asks that are due.
    settle_seconds : float
        Age of a bundle after which a node that knows no earlier one trusts it.
    lending : bool
        Whether zones lend to each other.
    """

    lease_seconds: float = 2.0
    spot_seconds: float = 0.25
    drift: float = 0.001
    wait_seconds: float = 0.5
    renew_fraction: float = 0.6
    leased_rate: float = 0.6
    leased_capacity: float = 0.7
    min_gap_seconds: float = 0.05
    loan_gap_seconds: float = 0.1
    asks_per_second: float = 20.0
    answer_seconds: float = 0.2
    refill_seconds: float = 0.5
    tick_seconds: float = 0.05
    settle_seconds: float = 60.0
    lending: bool = True

    def held_seconds(self, seconds: float) -> float:
        """Return the time for which a lender counts a lease of `seconds`."""
        return seconds * (1.0 + self.drift)
