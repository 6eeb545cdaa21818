"""Records of members, and which of two updates is the newer."""

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
    """State told by an update."""
    return STATES.get(state, MemberState.LIVE)


def is_newer(update: Update, known: Update) -> bool:
    """Whether an update goes before what is known of the same host.

    A total order, so that all nodes end with the same state in whatever order news
    arrives: a member that leaves or refutes raises its own refutation number.
    """
    return _order(update) > _order(known)


def _order(update: Update) -> tuple[int, int, int]:
    return update.incarnation, update.refutation, update.state


@dataclass(slots=True)
class MemberRecord:
    """What is known of a member.

    Attributes
    ----------
    update : Update
        Last news.
    listed : str
        State in the host list, empty where it isn't listed.
    changed_at : float
        Monotonic time of the last news.
    dies_at : float or None
        When a suspected member is taken for dead.
    misses : int
        Probes in a row that an unlisted member of another zone did not answer.
    """

    update: Update
    listed: str
    changed_at: float
    dies_at: float | None = None
    misses: int = 0

    @property
    def is_dead(self) -> bool:
        """Whether it is taken for dead."""
        return self.update.state == STATE_DEAD

    @property
    def is_suspect(self) -> bool:
        """Whether it may still refute."""
        return self.update.state == STATE_SUSPECT

    @property
    def version(self) -> str | None:
        """Text that differs between any two states worth syncing.

        The dead count while they are listed, for whoever reads the list only now.
        Others don't: each node forgets them in its own time.
        """
        update = self.update
        if self.is_dead and not self.listed:
            return None
        if update.state == STATE_LIVE and not update.incarnation:
            return None
        return f"{update.incarnation}/{update.refutation}/{update.state}"

    def as_member(self) -> Member:
        """Value for the table of members."""
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
