"""Wire format in which observations are broadcast."""

from dataclasses import dataclass

from expression import Error, Ok, Result
from google.protobuf.message import DecodeError

from damaskramp.core import HostId, ZoneName
from damaskramp.quarantine.fingerprint import Fingerprint
from damaskramp.wire import quarantine_pb2

__all__ = ["Observation", "decode", "encode"]


@dataclass(frozen=True, slots=True)
class Observation:
    """Observation by a host that some requests succeeded or were running at a death.

    Attributes
    ----------
    zone, host
        Observing host and its zone.
    at_ms : int
        Time of the observation in milliseconds since the epoch.
    succeeded : bool
        Whether the requests succeeded; if not, the backend server died running them.
    fingerprints : tuple of Fingerprint
        Fingerprints of the requests.
    """

    zone: ZoneName
    host: HostId
    at_ms: int
    succeeded: bool
    fingerprints: tuple[Fingerprint, ...]


def encode(observation: Observation) -> bytes:
    """Return the payload of an observation."""
    return quarantine_pb2.Observation(
        zone=observation.zone,
        host=observation.host,
        at_ms=observation.at_ms,
        succeeded=observation.succeeded,
        fingerprints=observation.fingerprints,
    ).SerializeToString()


def decode(payload: bytes) -> Result[Observation, str]:
    """Return the observation of a payload, or the reason why it can't be parsed."""
    try:
        message = quarantine_pb2.Observation.FromString(payload)
    except DecodeError as error:
        return Error(str(error))
    return Ok(
        Observation(
            ZoneName(message.zone),
            HostId(message.host),
            message.at_ms,
            message.succeeded,
            tuple(Fingerprint(item) for item in message.fingerprints),
        )
    )
