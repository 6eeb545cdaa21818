"""At most once: an id is claimed before its request runs; repeats get its answer."""

from damaskramp.core import HostId, Incarnation, RequestId, VirtualTimers, ZoneName
from damaskramp.dedup import (
    ClaimState,
    ClaimTable,
    RequestIdIssuer,
    claim_key,
    fingerprint,
    parse_request_id,
)

RETENTION_SECONDS = 600.0
SCOPE = "clubs"


class Ballots:
    """Request handler that must not run twice for one id."""

    def __init__(self, timers: VirtualTimers, id_issuer: RequestIdIssuer) -> None:
        self._id_issuer = id_issuer
        self._claims = ClaimTable(
            timers, lambda: RETENTION_SECONDS, claims=100, answer_bytes=10_000
        )
        self.runs = 0

    def cast(self, request_id: RequestId, body: bytes) -> str:
        """Run a request once; a repeat receives the first answer."""
        parsed = parse_request_id(request_id)
        if parsed.is_error() or not self._id_issuer.verify(SCOPE, parsed.ok):
            return "id not issued here"
        key = claim_key(SCOPE, request_id)
        contents = fingerprint("POST", "/ballots", body)
        claim = self._claims.get(key)
        if claim is None:
            self._claims.claim(key, contents)
            self.runs += 1
            answer = f"ballot {self.runs}"
            self._claims.settle(key, ClaimState.ANSWERED, answer, len(answer))
            return answer
        if claim.fingerprint != contents:
            return "another request has this id"
        return self._claims.answer(key)


def main() -> str:
    """Send a request twice, then a different one with its id, then a forged id."""
    timers = VirtualTimers()
    host, zone = HostId("desk-1"), ZoneName("perth-north")
    id_issuer = RequestIdIssuer(timers, zone, host, Incarnation(1), secret=b"k" * 32)
    ballots = Ballots(timers, id_issuer)
    request_id = id_issuer.issue(SCOPE)
    forged = RequestId(f"{request_id[:-4]}0000")
    answers = [
        ballots.cast(request_id, b"yes"),
        ballots.cast(request_id, b"yes"),
        ballots.cast(request_id, b"no"),
        ballots.cast(forged, b"yes"),
    ]
    return f"{'; '.join(answers)}; runs: {ballots.runs}"


if __name__ == "__main__":
    print(main())
