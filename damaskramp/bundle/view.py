"""Indexes over a bundle, which are built once when the bundle takes force."""

from damaskramp.bundle.model import Bundle, Route, Service, Team
from damaskramp.bundle.routes import RouteTable
from damaskramp.bundle.signed import SignedBundle
from damaskramp.core import BundleVersion, KeyDigest, ServiceName, TeamId

__all__ = ["BundleView"]


class BundleView:
    """A bundle in force, indexed for the lookups that each call needs.

    Parameters
    ----------
    signed : SignedBundle
        Verified bundle.
    withdrawn : frozenset of KeyDigest
        All keys that this node has ever seen withdrawn.
    """

    def __init__(
        self, signed: SignedBundle, withdrawn: frozenset[KeyDigest] = frozenset()
    ) -> None:
        self._signed = signed
        self._contents = signed.bundle
        self._withdrawn = withdrawn | frozenset(self._contents.withdrawn_keys)
        self._routes = RouteTable(self._contents)
        self._teams = {team.name: team for team in self._contents.teams}
        self._services = {item.name: item for item in self._contents.services}
        self._keys = {key.digest: TeamId(key.team) for key in self._contents.keys}
        classes = self._contents.bundle.classes
        self._ranks = {name: rank for rank, name in enumerate(classes)}

    @property
    def signed(self) -> SignedBundle:
        """The signed bundle."""
        return self._signed

    @property
    def contents(self) -> Bundle:
        """Contents of the bundle."""
        return self._contents

    @property
    def version(self) -> BundleVersion:
        """Version of the bundle."""
        return self._signed.version

    @property
    def withdrawn(self) -> frozenset[KeyDigest]:
        """Withdrawn keys; the set never shrinks."""
        return self._withdrawn

    def match(self, method: str, path: str) -> Route | None:
        """Return the route of a request, or None."""
        return self._routes.match(method, path)

    def team_of(self, digest: KeyDigest) -> TeamId | None:
        """Return the team of a key, or None for unknown and withdrawn keys."""
        if digest in self._withdrawn:
            return None
        return self._keys.get(digest)

    def is_key(self, digest: KeyDigest) -> bool:
        """Return whether the key is listed for a team or withdrawn."""
        return digest in self._keys or digest in self._withdrawn

    def team(self, name: TeamId) -> Team | None:
        """Return the team with the given name, or None."""
        return self._teams.get(name)

    def service(self, name: ServiceName) -> Service | None:
        """Return the service with the given name, or None."""
        return self._services.get(name)

    def rank(self, priority: str) -> int:
        """Return the rank of a priority class; rank 0 is the most important."""
        return self._ranks[priority]
