"""Caller of the entry nodes, with one request id for all attempts of a request."""

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
"""Reasons for a refusal that a retry would meet again."""


@dataclass(frozen=True, slots=True)
class CallerSettings:
    """Settings of a caller.

    Attributes
    ----------
    key : bytes
        Key of the team.
    attempts : int
        Maximum number of attempts of one request.
    retry_ratio : float
        Retries that each call adds to the retry budget of this caller.
    retry_burst : float
        Maximum number of retries that the budget accumulates.
    id_seconds : float
        Age in seconds up to which a request id that came with an answer is used.
    backoff_seconds, max_backoff_seconds : float
        First and longest pause between attempts if there is no retry-after hint.
    """

    key: bytes
    attempts: int = 4
    retry_ratio: float = 0.1
    retry_burst: float = 10.0
    id_seconds: float = 60.0
    backoff_seconds: float = 0.1
    max_backoff_seconds: float = 5.0


class Transport(ABC):
    """Interface for sending requests to the entry nodes."""

    @abstractmethod
    async def send(
        self, request: HttpRequest, timeout: float, attempt: int
    ) -> Result[HttpResponse, TransportError]:
        """Send a request; later attempts should go to other nodes."""


class HttpTransport(Transport):
    """Transport that uses the clients of several nodes in turn.

    Parameters
    ----------
    clients : tuple of HttpClient
        One client for each node; the first attempt goes to the first node.
    """

    def __init__(self, clients: tuple[HttpClient, ...]) -> None:
        self._clients = clients

    async def send(
        self, request: HttpRequest, timeout: float, attempt: int
    ) -> Result[HttpResponse, TransportError]:
        """Send a request to the node that is next in turn for this attempt."""
        client = self._clients[attempt % len(self._clients)]
        return await client.request(request, timeout)


class Caller:
    """Caller that sends requests so that each runs at most once.

    All attempts of one request carry one request id. A request whose outcome stays
    unknown is never sent under another id, because it may have run: whether to send it
    again is for the people behind the caller to decide.

    Parameters
    ----------
    settings : CallerSettings
        Settings of the caller.
    timers : TimerService
        Clock.
    transport : Transport
        Transport to the entry nodes.
    generator : numpy.random.Generator
        Random generator of the jitter.
    sleep : callable
        Coroutine function that waits for the given number of seconds.
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
        """Send a request, with retries, until its outcome is final.

        Parameters
        ----------
        request : HttpRequest
            Request without key and request id.
        timeout : float
            Timeout in seconds for all attempts together.
        idempotent : bool
            Whether the request may run more than once and thus needs no request id.
        request_id : str
            Request id of an earlier call whose outcome stayed unknown, in order to ask
            for that outcome.
        """
        deadline = self._timers.now + timeout
        self._earn_retries()
        if idempotent:
            return await self._send_attempts(request, _Progress(deadline, b"", False))
        if request_id:
            stated = request_id.encode()
            return await self._send_attempts(
                request, _Progress(deadline, stated, False)
            )
        while True:
            acquired = await self._acquire_id(deadline)
            if acquired.is_error():
                return acquired.error
            progress = _Progress(deadline, acquired.ok, True)
            result = await self._send_attempts(request, progress)
            if not _needs_new_id(result) or not self._may_retry_with_new_id(deadline):
                return result

    def _may_retry_with_new_id(self, deadline: float) -> bool:
        return self._timers.now < deadline and self._spend_retry()

    async def _send_attempts(
        self, request: HttpRequest, progress: "_Progress"
    ) -> CallResult:
        while True:
            result = progress.record_result(await self._send(request, progress))
            pause = self._pause(result)
            if not self._may_retry(result, progress, pause):
                return result
            await self._sleep(pause)

    def _may_retry(
        self, result: CallResult, progress: "_Progress", pause: float
    ) -> bool:
        if result.outcome is Outcome.ANSWER or result.reason in FINAL_REASONS:
            return False
        if result.attempts >= self._settings.attempts:
            return False
        if self._timers.now + pause >= progress.deadline:
            return False
        return self._spend_retry()

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

    async def _acquire_id(self, deadline: float) -> Result[bytes, CallResult]:
        """Return the id that came with the last answer, or request a new one."""
        (next_id, received_at), self._next_id = self._next_id, NO_ID
        if next_id and self._timers.now - received_at < self._settings.id_seconds:
            return Ok(next_id)
        request = HttpRequest("POST", ISSUE_TARGET)
        result = await self._send_attempts(request, _Progress(deadline, b"", False))
        issued = result.response.value(REQUEST_ID) if result.response else None
        if issued is None:
            return Error(replace(result, outcome=Outcome.NOT_RUN))
        return Ok(issued)

    def _pause(self, result: CallResult) -> float:
        """Return the greater of hint and backoff, plus a jitter of up to 50 % of it."""
        base = self._settings.backoff_seconds * 2 ** (result.attempts - 1)
        base = min(base, self._settings.max_backoff_seconds)
        spread = float(self._generator.uniform(1.0, 1.5))
        return max(base, result.retry_after) * spread

    def _earn_retries(self) -> None:
        earned = self._retries + self._settings.retry_ratio
        self._retries = min(self._settings.retry_burst, earned)

    def _spend_retry(self) -> bool:
        if self._retries < 1.0:
            return False
        self._retries -= 1.0
        return True


class _Progress:
    """State of the attempts of one request under one request id."""

    def __init__(self, deadline: float, request_id: bytes, is_new_id: bool) -> None:
        self._deadline = deadline
        self._request_id = request_id
        self._is_new_id = is_new_id
        self._attempts = 0
        self._may_have_run = False

    @property
    def deadline(self) -> float:
        """Deadline as monotonic time in seconds."""
        return self._deadline

    @property
    def request_id(self) -> bytes:
        """Request id of all attempts; empty for a request without one."""
        return self._request_id

    @property
    def attempts(self) -> int:
        """Number of attempts that were sent."""
        return self._attempts

    @property
    def is_first(self) -> bool:
        """Whether the request id has not been sent yet."""
        return self._is_new_id and self._attempts == 0

    def record_result(self, result: CallResult) -> CallResult:
        """Record the result of an attempt; return the result of all attempts so far.

        An attempt that could not be sent does not prove that an earlier attempt did
        not run.
        """
        self._attempts += 1
        if result.outcome in (Outcome.UNKNOWN, Outcome.IN_PROGRESS):
            self._may_have_run = True
        has_no_response = result.response is None
        if result.outcome is Outcome.NOT_RUN and has_no_response and self._may_have_run:
            result = replace(result, outcome=Outcome.UNKNOWN)
        return replace(result, attempts=self._attempts)


def _needs_new_id(result: CallResult) -> bool:
    """Return whether the request has not run and never will under its id.

    This is so if the home of the id is lost or unreachable.
    """
    if result.outcome is not Outcome.NOT_RUN:
        return False
    return result.reason in (Reason.HISTORY_LOST, Reason.HOME_UNREACHABLE)
