"""Effect of the events of a schedule on the fleet."""

import asyncio
import contextlib
import dataclasses
import signal

from tests.soak.callers import Crowd
from tests.soak.proxy import LinkMode
from tests.soak.schedule import EventKind

__all__ = ["FaultInjector"]

DELAY_SECONDS = 0.08
RESTORE_AGE_SECONDS = 3.0
"""Age of the copy from which a store is restored."""

STOP_MARGIN_SECONDS = 0.5

PEER_MODES = {
    EventKind.PEERS_DELAYED: LinkMode.DELAYED,
    EventKind.PEERS_SILENT: LinkMode.SILENT,
    EventKind.PEERS_ONE_WAY: LinkMode.SILENT_FROM_TARGET,
    EventKind.PEERS_TRICKLE: LinkMode.TRICKLE,
}

SERVER_FAULTS = frozenset(
    {
        EventKind.SERVER_SLOW,
        EventKind.SERVER_SHEDS,
        EventKind.ANSWERS_TWICE,
        EventKind.ANSWERS_LATE,
        EventKind.ANSWERS_CUT,
        EventKind.ANSWERS_ENDLESS,
        EventKind.STATES_LIMIT,
        EventKind.LEAVING_TAKEN_BACK,
    }
)

CROWDS = frozenset(
    {EventKind.SLOW_CALLERS, EventKind.UNFINISHED_BODIES, EventKind.PIPELINED}
)


class FaultInjector:
    """Applies each event of a schedule at its time."""

    def __init__(self, fleet, schedule):
        self._fleet = fleet
        self._schedule = schedule
        self._tasks = []
        self._copies = []
        self._nodes_busy = set()
        self._cut_pairs = []

    async def run(self):
        """Apply all events, and wait until the last one has ended."""
        copier = asyncio.ensure_future(self._copy_store())
        try:
            for event in self._schedule.events:
                await asyncio.sleep(max(0.0, event.at - self._fleet.record.now))
                self._tasks.append(asyncio.ensure_future(self._apply(event)))
            await asyncio.gather(*self._tasks)
        finally:
            copier.cancel()

    async def _copy_store(self):
        while True:
            self._copies.append((self._fleet.record.now, self._fleet.store.copy()))
            await asyncio.sleep(0.5)

    async def _apply(self, event):
        fleet = self._fleet
        host = fleet.hosts[event.host]
        notice = fleet.record.add_notice(event.kind.value, event.host)
        if event.kind in PEER_MODES:
            host.peers_proxy.set_mode(PEER_MODES[event.kind], DELAY_SECONDS)
            await asyncio.sleep(event.seconds)
            host.peers_proxy.set_mode(LinkMode.PASS)
        elif event.kind in SERVER_FAULTS:
            of_service = event.kind is EventKind.SERVER_SHEDS
            hosts = fleet.hosts_of(host.service) if of_service else [host]
            for one in hosts:
                one.backend.faults.add(event.kind.value)
            await asyncio.sleep(event.seconds)
            for one in hosts:
                one.backend.faults.discard(event.kind.value)
            if event.kind is EventKind.LEAVING_TAKEN_BACK:
                host.backend.end_notice("said leaving")
        elif event.kind in CROWDS:
            crowd = Crowd(fleet, host, event.kind.value)
            host.crowds.append(crowd)
            crowd.start()
            await asyncio.sleep(event.seconds)
            crowd.stop()
        else:
            await getattr(self, f"_{event.kind.value}")(event, host)
        notice.until = fleet.record.now

    async def _node_event(self, event, host, number, seconds):
        """End a node by a signal and start it again; skip a node that is ending."""
        if host.number in self._nodes_busy:
            return
        self._nodes_busy.add(host.number)
        stop = self._fleet.record.add_notice("node ends", host.number)
        in_time = await host.end_node(number, seconds)
        stop.until = self._fleet.record.now
        if not in_time:
            stop.detail = "overran"
        await asyncio.sleep(min(event.seconds, 0.5))
        host.start_node()
        self._nodes_busy.discard(host.number)

    async def _terminate(self, event, host):
        grace = self._fleet.grace_seconds + STOP_MARGIN_SECONDS
        await self._node_event(event, host, signal.SIGTERM, grace)

    async def _kill(self, event, host):
        await self._node_event(event, host, signal.SIGKILL, 1.0)

    async def _log_unread(self, event, host):
        if host.number in self._nodes_busy:
            return
        self._nodes_busy.add(host.number)
        stop = self._fleet.record.add_notice("node ends", host.number)
        await host.end_node(signal.SIGKILL, 1.0)
        stop.until = self._fleet.record.now
        host.start_node(unread_log=True)
        self._nodes_busy.discard(host.number)

    async def _freeze(self, event, host):
        if host.number in self._nodes_busy:
            return
        self._nodes_busy.add(host.number)
        host.signal(signal.SIGSTOP)
        await asyncio.sleep(event.seconds)
        host.signal(signal.SIGCONT)
        self._nodes_busy.discard(host.number)

    async def _peers_reset(self, event, host):
        host.peers_proxy.reset()

    async def _pair_cut(self, event, host):
        """Silence all connections between two hosts, in both directions."""
        pair = {event.host, event.peer}
        self._cut_pairs.append(pair)
        self._update_cuts(pair)
        await asyncio.sleep(event.seconds)
        self._cut_pairs.remove(pair)
        self._update_cuts(pair)

    def _update_cuts(self, pair):
        for number in pair:
            peers = set().union(*(p for p in self._cut_pairs if number in p)) - {number}
            proxy = self._fleet.hosts[number].peers_proxy
            proxy.set_cut(self._fleet.ports_finder(peers) if peers else None)

    async def _server_reset(self, event, host):
        host.server_proxy.reset()

    async def _server_silent(self, event, host):
        host.server_proxy.set_mode(LinkMode.SILENT_FROM_TARGET)
        await asyncio.sleep(event.seconds)
        host.server_proxy.set_mode(LinkMode.PASS)

    async def _server_crash(self, event, host):
        if not host.backend.is_up:
            return
        host.backend.crash()
        await asyncio.sleep(event.seconds)
        await host.backend.start()
        self._fleet.list_servers()

    async def _states_leaving(self, event, host):
        """Let a server announce that it is leaving; then it leaves and starts again."""
        if not host.backend.is_up:
            return
        host.backend.faults.add(event.kind.value)
        await asyncio.sleep(event.seconds)
        host.backend.faults.discard(event.kind.value)
        await self._server_crash(dataclasses.replace(event, seconds=0.5), host)

    async def _drains(self, event, host):
        if not host.backend.is_up or host.backend.is_leaving:
            return
        host.backend.is_leaving = True
        self._fleet.list_servers()
        host.backend.open_notice("server left")
        await asyncio.sleep(max(event.seconds, self._fleet.drain_seconds))
        host.backend.crash()
        with contextlib.suppress(KeyError):
            self._fleet.store.delete(f"servers/{host.backend.id}")
        await asyncio.sleep(1.0)
        await host.backend.start()
        self._fleet.list_servers()

    async def _store_silent(self, event, host):
        self._fleet.store.silent = True
        await asyncio.sleep(event.seconds)
        self._fleet.store.silent = False

    async def _store_busy(self, event, host):
        self._fleet.store.refusal_status = 503
        await asyncio.sleep(event.seconds)
        self._fleet.store.refusal_status = 0

    async def _store_shut(self, event, host):
        host.store_proxy.set_mode(LinkMode.REFUSED)
        await asyncio.sleep(event.seconds)
        host.store_proxy.set_mode(LinkMode.PASS)

    async def _store_restored(self, event, host):
        fleet = self._fleet
        limit = fleet.record.now - RESTORE_AGE_SECONDS
        copy = next((c for at, c in reversed(self._copies) if at <= limit), None)
        if copy is None:
            return
        fleet.store.refusal_status = 503
        await asyncio.sleep(event.seconds)
        # What was written while the store refused to be read is lost as well.
        lost = {
            key: item
            for key, item in fleet.store.items.items()
            if copy[0].get(key) != item
        }
        removed = [key for key in copy[0] if key not in fleet.store.items]
        fleet.store.restore(copy)
        fleet.store.refusal_status = 0
        # What the operator and the servers had written since is written again.
        if "op/config" in lost:
            fleet.publish_configuration()
        for key in removed:
            if key in fleet.store.items:
                fleet.store.delete(key)
        for key in lost:
            if key.startswith("op/evacuate/"):
                fleet.store.put(key, {})
        fleet.list_servers()

    async def _history_lost(self, event, host):
        self._fleet.store.expire_history()

    async def _configuration(self, event, host):
        self._fleet.swap()

    async def _key_withdrawn(self, event, host):
        self._fleet.withdraw_key()

    async def _evacuation(self, event, host):
        fleet = self._fleet
        key = f"op/evacuate/{host.zone}"
        if key in fleet.store.items:
            return
        fleet.store.put(key, {})
        evacuated = fleet.record.add_notice("zone evacuated", detail=host.zone)
        await asyncio.sleep(event.seconds)
        if key in fleet.store.items:
            fleet.store.delete(key)
        evacuated.until = fleet.record.now
