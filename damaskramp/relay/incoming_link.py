"""Link opened by another node, and the requests that this node serves on it."""

import asyncio
import logging
from typing import TYPE_CHECKING

from damaskramp.core import Reason
from damaskramp.dispatch import Load
from damaskramp.relay.body_source import BodySource
from damaskramp.relay.body_transfer import BodyReceiver, BodySender
from damaskramp.relay.incoming_upload import IncomingUpload, UploadBody
from damaskramp.relay.message_stream import MessageStream
from damaskramp.relay.messages import REASON_CODES, Call, Kind
from damaskramp.relay.outcome_sink import OutcomeSink
from damaskramp.relay.server_run import Run

if TYPE_CHECKING:
    from damaskramp.relay.link_service import LinkService

__all__ = ["IncomingLink"]

LOGGER = logging.getLogger(__name__)

BODY_STALL_SECONDS = 30.0
"""Time, in seconds, for which a node may grant nothing to the answers that it is sent.
A node closes callers that read nothing for 20 s, so only one that is frozen takes
longer."""


UNSENT_BYTES = 128 * 1024
"""Unsent bytes of answers, from which no more requests of the other node are read."""


SHORT_LOAD = 5
"""Number of fields of a load that are sent even if they have their defaults."""

REST_OF_SHORT_LOAD = Load(0, 0, 0, 0.0)[SHORT_LOAD:]


class IncomingLink(MessageStream):
    """Link opened by another node."""

    def __init__(self, service: "LinkService") -> None:
        super().__init__(service.partial_memory)
        self._service = service
        self._runs: dict[int, Run] = {}
        self._calls_end_at = float("inf")
        self._received_calls: dict[int, Call | IncomingUpload] = {}
        self._uploads: dict[int, IncomingUpload] = {}
        self._receiver = BodyReceiver(self)
        self._sender = BodySender(self)
        self._last_progress = (0, service.clock())

    @property
    def has_unsent(self) -> bool:
        """Whether an outcome has not reached the other host."""
        if self._transport is None:
            return False
        return not self._sender.is_idle or self.has_undelivered

    @property
    def uploads(self) -> int:
        """Number of calls whose bodies are arriving."""
        return len(self._uploads)

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Register the link."""
        self._service.links.add(self)
        transport.set_write_buffer_limits(high=UNSENT_BYTES)
        super().connection_made(transport)

    def pause_writing(self) -> None:
        """Process nothing more from a node that does not take its answers.

        That node goes on reading answers whatever it sends, so both never wait.
        """
        self._is_held_back = True
        self._service.counters.add("links_held_back")
        self._transport.pause_reading()

    def resume_writing(self) -> None:
        """Read again, as the node has taken its answers."""
        self._is_held_back = False
        if self._transport is not None:
            self._process()
        if self._transport is not None and not self._is_held_back:
            self._transport.resume_reading()

    def eof_received(self) -> bool:
        """Drop calls not yet submitted, as the other node has ended the link."""
        self._drop_unsubmitted()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the calls of a node that can no longer receive their answers."""
        self._transport = None
        self.drop_input()
        self._service.links.discard(self)
        self._drop_unsubmitted()
        for run in list(self._runs.values()):
            run.cancel()
        self._runs.clear()
        if self._sender.unfinished:
            self._report_broken("link ended", self._sender.unfinished)
        self._sender.close()
        self._receiver.break_off()

    def _drop_unsubmitted(self) -> None:
        for call in (*self._received_calls.values(), *self._uploads.values()):
            if isinstance(call, IncomingUpload):
                call.body.close()
        self._received_calls.clear()
        self._uploads.clear()

    def received(self, message: list) -> None:
        """Process one message."""
        kind = message[0]
        if kind == Kind.CALL:
            call = Call(*message[1:])
            self._add_call(call.number, call)
        elif kind == Kind.CANCEL:
            self._cancel(message[1])
        elif kind == Kind.FRAGMENT:
            self._receive_fragment(message[1], message[2])
        elif kind == Kind.GRANT:
            self._sender.handle_grant(message[1], message[2])
        elif kind == Kind.LARGE_CALL:
            self._begin_upload(message[1], Call(*message[2:]))
        elif kind == Kind.PING:
            self.send((Kind.PONG, *self._service.answer_ping(message)))
        elif kind == Kind.UPDATE:
            self._service.receive_update(message)
        elif kind == Kind.BORROW:
            _, number, team, min_permits, max_permits = message
            self.send(
                (Kind.LENT, number, *self._service.lend(team, min_permits, max_permits))
            )
        elif kind == Kind.GIVE_BACK:
            self._service.receive_returned(message[1], message[2])
        elif kind == Kind.END_CALLS:
            self._limit_deadlines(message[1])

    def _add_call(self, number: int, call: Call | IncomingUpload) -> None:
        # A delayed link may deliver a call together with its cancellation.
        if not self._received_calls:
            asyncio.get_running_loop().call_soon(self._submit_calls)
        self._received_calls[number] = call

    def _begin_upload(self, size: int, call: Call) -> None:
        service, number = self._service, call.number
        reply = _RemoteReply(self, number)
        if service.executor.refuse_early(call, reply):
            return
        body = UploadBody(service.memory, size)
        self._uploads[number] = IncomingUpload(call, body, service.clock())
        self._receiver.open(number, body)
        service.counters.add("link_bodies", reason="request")
        body.open()
        if body.is_waiting:
            service.counters.add("link_bodies_held_back", reason="request")

    def _receive_fragment(self, number: int, data: bytes) -> None:
        self._receiver.receive(number, data)
        upload = self._uploads.get(number)
        if upload is not None and upload.body.is_complete:
            del self._uploads[number]
            self._add_call(number, upload)

    def _cancel(self, number: int) -> None:
        call = self._received_calls.pop(number, None) or self._uploads.pop(number, None)
        if isinstance(call, IncomingUpload):
            self._receiver.close(number)
            call.body.close()
        if call is not None or self._sender.cancel(number):
            return
        run = self._runs.pop(number, None)
        if run is not None:
            run.cancel()

    def _limit_deadlines(self, seconds: float) -> None:
        """Refuse in time what still waits here when the other node ends."""
        self._calls_end_at = self._service.clock() + seconds
        for run in self._runs.values():
            run.limit_deadline(self._calls_end_at)

    def _submit_calls(self) -> None:
        """Submit the calls of one read that were not cancelled in the same read."""
        arrived, self._received_calls = self._received_calls, {}
        for number, call in arrived.items():
            if isinstance(call, IncomingUpload):
                # The executor reserves the memory that the upload releases here.
                call = call.complete(self._service.clock())
            reply = _RemoteReply(self, number)
            run = self._service.executor.submit(call, reply)
            if not reply.done:
                run.limit_deadline(self._calls_end_at)
                self._runs[number] = run

    def check_bodies(self, now: float) -> None:
        """Drop uploads that nobody waits for, and answers that are not taken."""
        # Most links carry no bodies, and all of them are checked ten times a second.
        if self._uploads:
            self._drop_overdue(now)
        sent, since = self._last_progress
        if not self._sender.unfinished or self._sender.sent_bytes != sent:
            self._last_progress = (self._sender.sent_bytes, now)
        elif now - since > BODY_STALL_SECONDS:
            LOGGER.info("answers not taken", extra={"seconds": round(now - since, 1)})
            self._sender.break_off()

    def _drop_overdue(self, now: float) -> None:
        overdue = [n for n, one in self._uploads.items() if now > one.expires_at]
        for number in overdue:
            upload = self._uploads.pop(number)
            self._receiver.close(number)
            upload.body.close()
            self._service.counters.add("link_bodies_overdue")
            load = self._service.executor.load_for(upload.call)
            reply = _RemoteReply(self, number)
            reply.refused(Reason.DEADLINE_EXCEEDED, 0.0, False, load)

    def abort(self) -> None:
        """Abort the link."""
        if self._transport is not None:
            self._transport.abort()

    def finish(self, number: int, message: tuple) -> None:
        """Send the outcome of a call, and forget how to cancel it."""
        self._runs.pop(number, None)
        if self._transport is not None:
            self.send(message)
            self.mark_position()

    def finish_large(
        self, number: int, message: tuple, body: BodySource, load: Load
    ) -> None:
        """Send an answer whose body follows in fragments."""
        if self._transport is None:
            body.close()
            return
        self.finish(number, message)
        self._service.counters.add("link_bodies", reason="answer")

        def on_end(number: int, complete: bool) -> None:
            if not complete:
                self._report_broken("broken off at this node", 1)
                _RemoteReply(self, number).failed(Reason.ANSWER_LOST, load)

        self._sender.start(number, body, on_end)

    def _report_broken(self, cause: str, bodies: int) -> None:
        self._service.counters.add("link_bodies_broken", bodies, reason="answer")
        LOGGER.info("answers broken off", extra={"cause": cause, "bodies": bodies})


class _RemoteReply(OutcomeSink):
    __slots__ = ("_link", "_number", "done")

    def __init__(self, link: IncomingLink, number: int) -> None:
        self._link = link
        self._number = number
        self.done = False

    def answer_started(self) -> None:
        """Do nothing; an answer of the own server starts when it is handed on."""

    def answered(
        self, status: int, head: bytes, body: bytes | BodySource, load: Load
    ) -> None:
        fields = _load_fields(load)
        if type(body) is bytes:
            self._send((Kind.ANSWER, self._number, status, head, body, *fields))
            return
        self.done = True
        message = (Kind.LARGE_ANSWER, self._number, status, head, len(body), *fields)
        self._link.finish_large(self._number, message, body, load)

    def refused(self, reason: Reason, wait: float, arrived: bool, load: Load) -> None:
        code = REASON_CODES[reason]
        self._send(
            (Kind.REFUSED, self._number, code, wait, arrived, *_load_fields(load))
        )

    def failed(self, reason: Reason, load: Load) -> None:
        self._send(
            (Kind.FAILED, self._number, REASON_CODES[reason], *_load_fields(load))
        )

    def _send(self, message: tuple) -> None:
        self.done = True
        self._link.finish(self._number, message)


def _load_fields(load: Load) -> tuple:
    """Fields of a load without those at the end that have their defaults."""
    if load[SHORT_LOAD:] == REST_OF_SHORT_LOAD:
        return load[:SHORT_LOAD]
    return load
