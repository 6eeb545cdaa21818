"""Containment of requests that crash the backend servers running them."""

from damaskramp.quarantine.fingerprint import Fingerprint, fingerprint
from damaskramp.quarantine.ledger import Death, DeathLedger, QuarantineStatus
from damaskramp.quarantine.messages import Observation, decode, encode
from damaskramp.quarantine.quarantine import Quarantine
from damaskramp.quarantine.running import RunningCalls

__all__ = [
    "Death",
    "DeathLedger",
    "Fingerprint",
    "Observation",
    "Quarantine",
    "QuarantineStatus",
    "RunningCalls",
    "decode",
    "encode",
    "fingerprint",
]
