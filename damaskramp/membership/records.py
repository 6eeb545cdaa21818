"""Records of members, and the order of updates."""

from dataclasses import dataclass

from damaskramp.core import HostId, Incarnation, ServiceName, ZoneName
from damaskramp.membership.table import Member, MemberState
from damaskramp.wire.membership_pb2 import (
    STATE_DEAD,
    STATE_LEAVING,
    STATE_LIVE,
    STATE_SUSPECT,
    Update,
)

__all__ = ["MemberRecord", "is_newer", "parse_state"]

STATES = {
    STATE_LIVE: MemberState.LIVE,
    STATE_SUSPECT: MemberState.SUSPECT,
    STATE_LEAVING: MemberState.LEAVING,
    STATE_DEAD: MemberState.DEAD,
}


def parse_state(state: int) -> MemberState:
    """Return the state in an update; an unknown value counts as live."""
    return STATES.get(state, MemberState.LIVE)


def is_newer(update: Update, known: Update) -> bool:
    """Return whether an update supersedes the known update of the same host.

    The order is total, so that all nodes end with the same state in whatever order
    updates arrive. A member that leaves or refutes raises its own refutation number.
    """
    return _order(update) > _order(known)


def _order(update: Update) -> tuple[int, int, int]:
    return update.incarnation, update.refutation, update.state


@dataclass(slots=True)
class MemberRecord:
    """Record of a member.

    Attributes
    ----------
    update : Update
        Latest update about the member.
    listed : str
        State in the host list, empty if the member isn't listed.
    changed_at : float
        Monotonic time in seconds of the latest update.
    suspicion_deadline : float or None
        Monotonic time in seconds at which a suspect is declared dead.
    misses : int
        Number of consecutive probes that an unlisted member of another zone did not
        answer.
    """

    update: Update
    listed: str
    changed_at: float
    suspicion_deadline: float | None = None
    missed_probes: int = 0

    @property
    def is_dead(self) -> bool:
        """Whether the member has been declared dead."""
        return self.update.state == STATE_DEAD

    @property
    def is_suspect(self) -> bool:
        """Whether the member is suspected and may still refute."""
        return self.update.state == STATE_SUSPECT

    @property
    def version(self) -> str | None:
        """Text that differs between any two states that a sync should transfer.

        It is None for a member without such a state. A dead member has a version while
        it is listed, so that a node that reads the host list later learns of the death.
        A dead member that isn't listed has none, since each node removes it at a
        different time.
        """
        update = self.update
        if self.is_dead and not self.listed:
            return None
        if update.state == STATE_LIVE and not update.incarnation:
            return None
        return f"{update.incarnation}/{update.refutation}/{update.state}"

    def as_member(self) -> Member:
        """Return the member for the table of members."""
        update = self.update
        state = parse_state(update.state)
        if self.listed == "leaving" and state is not MemberState.DEAD:
            state = MemberState.LEAVING
        return Member(
            HostId(update.host),
            ZoneName(update.zone),
            update.peer,
            ServiceName(update.service),
            state,
            Incarnation(update.incarnation),
        )
