"""A caller of the system: one id for all attempts of one request."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

import numpy as np
from expression import Error, Ok, Result

from damaskramp.client.results import CallResult, read_result
from damaskramp.core import Outcome, Reason, TimerService
from damaskramp.http import HttpClient, HttpRequest, HttpResponse, TransportError

__all__ = ["Caller", "CallerSettings", "HttpTransport", "Transport"]

ISSUE_TARGET = "/damaskramp/request-id"
IDEMPOTENCY_KEY = b"idempotency-key"
FIRST_ATTEMPT = b"damaskramp-first-attempt"
TIMEOUT_MS = b"damaskramp-timeout-ms"
REQUEST_ID = b"damaskramp-request-id"
NEXT_REQUEST_ID = b"damaskramp-next-request-id"
NO_ID = (b"", 0.0)

FINAL_REASONS = frozenset(
    {
        Reason.BAD_REQUEST,
        Reason.KEY_MISSING,
        Reason.KEY_UNKNOWN,
        Reason.KEY_WITHDRAWN,
        Reason.KEY_MISPLACED,
        Reason.HISTORY_LOST,
        Reason.NO_ROUTE,
        Reason.REQUEST_CONFLICT,
        Reason.QUARANTINED,
        Reason.TOO_DEEP,
        Reason.TOO_LARGE,
    }
)
"""Refusals that a repeat can't change."""


@dataclass(frozen=True, slots=True)
class CallerSettings:
    """How a caller behaves.

    Attributes
    ----------
    key : bytes
        The team's key.
    attempts : int
        Attempts of one request at most.
    retry_ratio : float
        Retries earned by each call, over all calls of this caller.
    retry_burst : float
        Retries that may be saved up.
    id_seconds : float
        Age up to which an id handed out with an answer is used.
    backoff_seconds, longest_backoff_seconds : float
        First and longest pause where the system gives no hint.
    """

    key: bytes
    attempts: int = 4
    retry_ratio: float = 0.1
    retry_burst: float = 10.0
    id_seconds: float = 60.0
    backoff_seconds: float = 0.1
    longest_backoff_seconds: float = 5.0


class Transport(ABC):
    """Way to the entry nodes."""

    @abstractmethod
    async def send(
        self, request: HttpRequest, timeout: float, attempt: int
    ) -> Result[HttpResponse, TransportError]:
        """Send a request; later attempts should go to other nodes."""


class HttpTransport(Transport):
    """Clients of several nodes, used in turn.

    Parameters
    ----------
    clients : tuple of HttpClient
        One for each node; the first is preferred.
    """

    def __init__(self, clients: tuple[HttpClient, ...]) -> None:
        self._clients = clients

    async def send(
        self, request: HttpRequest, timeout: float, attempt: int
    ) -> Result[HttpResponse, TransportError]:
        """Send a request to the node whose turn it is."""
        client = self._clients[attempt % len(self._clients)]
        return await client.request(request, timeout)


class Caller:
    """Sends requests so that each runs at most once.

    All attempts of one request carry one id. A request whose outcome stays unknown
    is never sent under another id: that is for the people behind it to decide.

    Parameters
    ----------
    settings : CallerSettings
        How it behaves.
    timers : TimerService
        Time.
    transport : Transport
        Way to the entry nodes.
    generator : numpy.random.Generator
        Source of jitter.
    sleep : callable
        Coroutine function that waits some seconds.
    """

    def __init__(
        self,
        settings: CallerSettings,
        timers: TimerService,
        transport: Transport,
        generator: np.random.Generator,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self._settings = settings
        self._timers = timers
        self._transport = transport
        self._generator = generator
        self._sleep = sleep
        self._retries = settings.retry_burst
        self._next_id = NO_ID

    async def call(
        self,
        request: HttpRequest,
        timeout: float = 5.0,
        idempotent: bool = False,
        request_id: str = "",
    ) -> CallResult:
        """Send a request until its outcome is final.

        Parameters
        ----------
        request : HttpRequest
            Request without key and id.
        timeout : float
            Seconds for all attempts together.
        idempotent : bool
            Whether the request needs no id.
        request_id : str
            Id of an earlier call whose outcome stayed unknown, to ask again.
        """
        deadline = self._timers.now + timeout
        self._earn()
        if idempotent:
            return await self._attempts(request, _Progress(deadline, b"", False))
        if request_id:
            stated = request_id.encode()
            return await self._attempts(request, _Progress(deadline, stated, False))
        while True:
            taken = await self._take_id(deadline)
            if taken.is_error():
                return taken.error
            progress = _Progress(deadline, taken.ok, True)
            result = await self._attempts(request, progress)
            if not _needs_new_id(result) or not self._may_repeat(deadline):
                return result

    def _may_repeat(self, deadline: float) -> bool:
        return self._timers.now < deadline and self._spend()

    async def _attempts(
        self, request: HttpRequest, progress: "_Progress"
    ) -> CallResult:
        while True:
            result = progress.judge(await self._send(request, progress))
            pause = self._pause(result)
            if not self._goes_on(result, progress, pause):
                return result
            await self._sleep(pause)

    def _goes_on(self, result: CallResult, progress: "_Progress", pause: float) -> bool:
        if result.outcome is Outcome.ANSWER or result.reason in FINAL_REASONS:
            return False
        if result.attempts >= self._settings.attempts:
            return False
        if self._timers.now + pause >= progress.deadline:
            return False
        return self._spend()

    async def _send(self, request: HttpRequest, progress: "_Progress") -> CallResult:
        remaining = progress.deadline - self._timers.now
        prepared = self._prepare(request, progress, remaining)
        answer = await self._transport.send(prepared, remaining, progress.attempts)
        if answer.is_error():
            sent = answer.error.bytes_sent
            return CallResult(Outcome.UNKNOWN if sent else Outcome.NOT_RUN)
        next_id = answer.ok.value(NEXT_REQUEST_ID)
        if next_id is not None:
            self._next_id = (next_id, self._timers.now)
        return read_result(answer.ok)

    def _prepare(
        self, request: HttpRequest, progress: "_Progress", remaining: float
    ) -> HttpRequest:
        headers = request.headers + (
            (b"authorization", b"Bearer " + self._settings.key),
            (TIMEOUT_MS, b"%d" % max(1, int(remaining * 1000))),
        )
        if progress.request_id:
            headers += ((IDEMPOTENCY_KEY, progress.request_id),)
        if progress.is_first:
            headers += ((FIRST_ATTEMPT, b"true"),)
        return replace(request, headers=headers)

    async def _take_id(self, deadline: float) -> Result[bytes, CallResult]:
        """Id handed out with the last answer, or a new one."""
        (kept, since), self._next_id = self._next_id, NO_ID
        if kept and self._timers.now - since < self._settings.id_seconds:
            return Ok(kept)
        request = HttpRequest("POST", ISSUE_TARGET)
        result = await self._attempts(request, _Progress(deadline, b"", False))
        issued = result.response.value(REQUEST_ID) if result.response else None
        if issued is None:
            return Error(replace(result, outcome=Outcome.NOT_RUN))
        return Ok(issued)

    def _pause(self, result: CallResult) -> float:
        """Hint or backoff, spread upwards by up to a half."""
        base = self._settings.backoff_seconds * 2 ** (result.attempts - 1)
        base = min(base, self._settings.longest_backoff_seconds)
        spread = float(self._generator.uniform(1.0, 1.5))
        return max(base, result.retry_after) * spread

    def _earn(self) -> None:
        earned = self._retries + self._settings.retry_ratio
        self._retries = min(self._settings.retry_burst, earned)

    def _spend(self) -> bool:
        if self._retries < 1.0:
            return False
        self._retries -= 1.0
        return True


class _Progress:
    """Attempts of one request under one id."""

    def __init__(self, deadline: float, request_id: bytes, unsent: bool) -> None:
        self._deadline = deadline
        self._request_id = request_id
        self._unsent = unsent
        self._attempts = 0
        self._may_have_run = False

    @property
    def deadline(self) -> float:
        """Monotonic time in seconds."""
        return self._deadline

    @property
    def request_id(self) -> bytes:
        """Id of all attempts, empty for none."""
        return self._request_id

    @property
    def attempts(self) -> int:
        """Attempts that were sent."""
        return self._attempts

    @property
    def is_first(self) -> bool:
        """Whether the id has never been sent."""
        return self._unsent and self._attempts == 0

    def judge(self, result: CallResult) -> CallResult:
        """Result of an attempt in the light of the earlier ones.

        An attempt that could not be sent says nothing of an earlier one.
        """
        self._attempts += 1
        if result.outcome in (Outcome.UNKNOWN, Outcome.IN_PROGRESS):
            self._may_have_run = True
        unheard = result.response is None
        if result.outcome is Outcome.NOT_RUN and unheard and self._may_have_run:
            result = replace(result, outcome=Outcome.UNKNOWN)
        return replace(result, attempts=self._attempts)


def _needs_new_id(result: CallResult) -> bool:
    """Whether the request has not run and its id never will: its home is gone."""
    if result.outcome is not Outcome.NOT_RUN:
        return False
    return result.reason in (Reason.HISTORY_LOST, Reason.HOME_UNREACHABLE)
