"""Client of the platform's metadata store.

The configuration is read by key and the server entries by range; one watch over all
keys then follows their changes. Where zones may be evacuated, one range over the
operator's keys replaces the reading of the configuration's key. Other programs write
these entries: one that can't be read is counted, logged with its key, and left out.
"""

import base64
import binascii
import logging
from typing import Any, NamedTuple
from urllib.parse import urlencode

import orjson

from damaskramp.core import Counters
from damaskramp.fleet.model import (
    NO_EPOCH,
    BackendServer,
    Epoch,
    FleetConfiguration,
    Removal,
    Revision,
    ServerId,
    StorePosition,
)
from damaskramp.fleet.sources import (
    FleetSource,
    RevisionExpiredError,
    SourceBusyError,
    SourceChanges,
    SourceError,
    SourceSnapshot,
)
from damaskramp.http import HttpClient, HttpRequest, HttpResponse
from damaskramp.platform.decode import DecodeError, decode_configuration, decode_server
from damaskramp.platform.evacuation_keys import decode_evacuations
from damaskramp.platform.fields import parse_digits

__all__ = ["MetadataStore"]

CONFIGURATION_KEY = "op/config"
OPERATOR_PREFIX = "op/"
SERVERS_PREFIX = "servers/"
ALL_KEYS = ""

EPOCH_FIELD = b"store-era"
"""Header field with the number of the store's history, in all its answers."""

RESPONSE_TIMEOUT_SECONDS = 1.5
"""Timeout of a request; the timeout of a watch is its wait time plus this time. The
store answers within 4 ms, or within a few hundred when it is slow. A connection on
which the answer was lost stays silent, so only the timeout ends the wait."""

MAX_LOGGED_BYTES = 80
"""Length up to which a header value that can't be read is logged."""

MAX_RESPONSE_BYTES = 16 * 1024 * 1024
"""Size up to which a response is read whole. A value may have 1 MB, and a watch may
return several values."""

LOGGER = logging.getLogger(__name__)


class _Answer(NamedTuple):
    """Body of an answer of the store, and the epoch that it states."""

    body: dict[str, Any]
    epoch: Epoch


class MetadataStore(FleetSource):
    """Metadata store as a source of the configuration and the backend servers.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the store.
    counters : Counters
        Counters of store calls and of entries that can't be read.
    reads_evacuations : bool
        Whether evacuations of zones are read.
    """

    def __init__(
        self, address: str, counters: Counters, reads_evacuations: bool = False
    ) -> None:
        host, _, port = address.rpartition(":")
        self._client = HttpClient(host, int(port), whole_bytes=MAX_RESPONSE_BYTES)
        self._counters = counters
        self._reads_evacuations = reads_evacuations
        self._epoch = NO_EPOCH
        self._decoded: FleetConfiguration | None = None
        self._unreadable_epoch: list[bytes] = []

    async def snapshot(self) -> SourceSnapshot:
        """Read the configuration and all server entries."""
        items, position = await self._read_range(SERVERS_PREFIX, None)
        servers = [self._decode_server_entry(item, position.epoch) for item in items]
        evacuations = None
        if self._reads_evacuations:
            items, _ = await self._read_range(OPERATOR_PREFIX, position)
            found = [item for item in items if item["key"] == CONFIGURATION_KEY]
            configuration, problem = None, ""
            if found:
                configuration, problem = self._decode_configuration_entry(found[0])
            evacuations = decode_evacuations(
                items, position.epoch, self._record_unreadable
            )
        else:
            configuration, problem = await self._fetch_configuration(position)
        return SourceSnapshot(
            configuration,
            tuple(server for server in servers if server is not None),
            position,
            problem,
            evacuations,
        )

    async def changes(self, after: StorePosition, seconds: float) -> SourceChanges:
        """Wait up to `seconds` for changes after a position."""
        query = {
            "path-prefix": ALL_KEYS,
            "after": str(after.revision),
            "wait-ms": str(int(seconds * 1000)),
        }
        body, epoch = await self._call(
            "/v1/kv-watch", query, seconds + RESPONSE_TIMEOUT_SECONDS
        )
        # Another history has passed the revision if the store answers nevertheless.
        _check_epoch(epoch, after)
        configuration, problem = None, ""
        servers: dict[str, BackendServer] = {}
        removed: dict[str, Removal] = {}
        for event in body["events"]:
            key = event["key"]
            if key == CONFIGURATION_KEY and not event.get("deleted"):
                found, problem = self._decode_configuration_entry(event)
                configuration = found or configuration
            elif key.startswith(SERVERS_PREFIX):
                name = key[len(SERVERS_PREFIX) :]
                server = (
                    None
                    if event.get("deleted")
                    else self._decode_server_entry(event, epoch)
                )
                servers.pop(name, None)
                removed.pop(name, None)
                if server is not None:
                    servers[name] = server
                else:
                    revision = Revision(event["revision"])
                    removed[name] = Removal(ServerId(name), revision, epoch)
        evacuations = None
        if self._reads_evacuations:
            evacuations = decode_evacuations(
                body["events"], epoch, self._record_unreadable
            )
        return SourceChanges(
            configuration,
            tuple(servers.values()),
            tuple(removed.values()),
            StorePosition(epoch, Revision(body["store-revision"])),
            problem,
            evacuations,
        )

    def decode(self, document: bytes) -> FleetConfiguration:
        """Decode a configuration that another host passed on."""
        try:
            return self._decode_document(document)
        except DecodeError as error:
            raise SourceError(str(error)) from error

    def close(self) -> None:
        """Close the idle connections; those of running calls end with the calls."""
        self._client.close()

    async def _read_range(
        self, prefix: str, position: StorePosition | None
    ) -> tuple[list[dict[str, Any]], StorePosition]:
        """Read all entries of a prefix, and the position before the first page.

        The pages may have different revisions and then form no consistent snapshot, so
        changes are followed from the revision of the first page.

        Parameters
        ----------
        position : StorePosition or None
            Position before the first page of the snapshot; None if this range begins
            the snapshot.
        """
        items: list[dict[str, Any]] = []
        while True:
            query = {"path-prefix": prefix}
            if items:
                query["after"] = items[-1]["key"]
            page, epoch = await self._call(
                "/v1/kv-range", query, RESPONSE_TIMEOUT_SECONDS
            )
            if position is None:
                position = StorePosition(epoch, Revision(page["store-revision"]))
            _check_epoch(epoch, position)
            items += page["items"]
            if not page.get("has-more") or not page["items"]:
                return items, position

    async def _fetch_configuration(
        self, position: StorePosition
    ) -> tuple[FleetConfiguration | None, str]:
        query = {"key": CONFIGURATION_KEY}
        item, epoch = await self._call(
            "/v1/kv-key", query, RESPONSE_TIMEOUT_SECONDS, missing_ok=True
        )
        _check_epoch(epoch, position)
        return self._decode_configuration_entry(item) if item else (None, "")

    def _decode_configuration_entry(
        self, item: dict[str, Any]
    ) -> tuple[FleetConfiguration | None, str]:
        """Decode the configuration of an entry; None and the reason on failure."""
        try:
            return self._decode_document(_decode_value(item)), ""
        except Exception as error:
            # Whatever a writer has left here, the rest of the answer is used.
            self._record_unreadable(CONFIGURATION_KEY, error)
            return None, _reason(error)

    def _decode_document(self, document: bytes) -> FleetConfiguration:
        """Decode a configuration, or return the last one if the document is the same.

        A reader gets each document several times: by its watch and its poll, from the
        other readers of its zone, and in each snapshot.
        """
        if self._decoded is None or self._decoded.document != document:
            self._decoded = decode_configuration(document)
        return self._decoded

    def _decode_server_entry(
        self, item: dict[str, Any], epoch: Epoch
    ) -> BackendServer | None:
        key = item["key"]
        try:
            name = key[len(SERVERS_PREFIX) :]
            return decode_server(name, _decode_value(item), item["revision"], epoch)
        except Exception as error:
            # One entry of another writer must not hide the others.
            self._record_unreadable(key, error)
            return None

    def _record_unreadable(self, key: str, error: Exception) -> None:
        self._counters.add("store_entries_unreadable")
        LOGGER.warning(
            "store entry can't be read", extra={"key": key, "reason": _reason(error)}
        )

    async def _call(
        self,
        path: str,
        query: dict[str, str],
        timeout: float,
        missing_ok: bool = False,
    ) -> _Answer:
        self._counters.add("store_calls")
        request = HttpRequest("GET", f"{path}?{urlencode(query)}")
        answer = await self._client.request(request, timeout)
        if answer.is_error():
            raise SourceError(
                f"{path}: {answer.error.kind.value} {answer.error.detail}"
            )
        response = answer.ok
        epoch = self._read_epoch(response)
        if response.status == 410:
            raise RevisionExpiredError(path)
        if response.status in (429, 503):
            raise SourceBusyError(f"{path}: status {response.status}")
        if response.status == 404 and missing_ok:
            return _Answer({}, epoch)
        if response.status != 200:
            raise SourceError(f"{path}: status {response.status}")
        try:
            body = orjson.loads(response.body)
        except orjson.JSONDecodeError as error:
            raise SourceError(f"{path}: not JSON: {error}") from error
        if not isinstance(body, dict):
            raise SourceError(f"{path}: not an object")
        return _Answer(body, epoch)

    def _read_epoch(self, response: HttpResponse) -> Epoch:
        """Read the epoch that an answer states; the last one if it can't be read."""
        stated = [value for name, value in response.headers if name == EPOCH_FIELD]
        if len(set(stated)) == 1:
            try:
                self._epoch = Epoch(parse_digits(stated[0].decode("latin-1")))
                return self._epoch
            except DecodeError:
                pass
        if stated:
            self._counters.add("source_epochs_unreadable")
            if stated != self._unreadable_epoch:
                values = [repr(value[:MAX_LOGGED_BYTES]) for value in stated]
                LOGGER.warning("store's epoch can't be read", extra={"values": values})
        self._unreadable_epoch = stated
        return self._epoch


def _reason(error: Exception) -> str:
    """Why an entry can't be read; an error that was not expected with its type."""
    return str(error) if isinstance(error, DecodeError) else repr(error)


def _check_epoch(epoch: Epoch, position: StorePosition) -> None:
    """Raise `RevisionExpiredError` if an answer has another epoch than a position."""
    if epoch != position.epoch:
        raise RevisionExpiredError(f"epoch {epoch}, not {position.epoch}")


def _decode_value(item: dict[str, Any]) -> bytes:
    try:
        return base64.b64decode(item.get("value"), validate=True)
    except (binascii.Error, TypeError, ValueError) as error:
        raise DecodeError(f"value: not base64: {error}") from error
