"""Form in which observations are spread."""

from dataclasses import dataclass

from expression import Error, Ok, Result
from google.protobuf.message import DecodeError

from damaskramp.core import HostId, ZoneName
from damaskramp.quarantine.fingerprint import Fingerprint
from damaskramp.wire import quarantine_pb2

__all__ = ["Observation", "decode", "encode"]


@dataclass(frozen=True, slots=True)
class Observation:
    """What a host saw of some requests: a death, or that they succeeded.

    Attributes
    ----------
    at_ms : int
        Milliseconds since the epoch.
    """

    zone: ZoneName
    host: HostId
    at_ms: int
    succeeded: bool
    fingerprints: tuple[Fingerprint, ...]


def encode(observation: Observation) -> bytes:
    """Payload of an observation."""
    return quarantine_pb2.Observation(
        zone=observation.zone,
        host=observation.host,
        at_ms=observation.at_ms,
        succeeded=observation.succeeded,
        fingerprints=observation.fingerprints,
    ).SerializeToString()


def decode(payload: bytes) -> Result[Observation, str]:
    """Observation of a payload, or why it can't be read."""
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
