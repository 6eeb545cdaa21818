"""Table of the activities of a node besides relaying."""

from collections.abc import Callable
from typing import NamedTuple

from . import link_activities, state_activities

__all__ = ["ACTIVITIES", "Activity"]


class Activity(NamedTuple):
    """Activity that is measured.

    Attributes
    ----------
    prepare : callable
        Takes a `Bench`; returns what runs the activity once, or a coroutine of it.
    per_second : float
        Runs a second at rest; 0 if it follows an event.
    runs : int
        Runs of one turn.
    """

    prepare: Callable
    per_second: float
    runs: int


ACTIVITIES = {
    "gossip round": Activity(link_activities.prepare_gossip, 2.5, 40),
    "check of links": Activity(link_activities.prepare_check_links, 10, 100),
    "sweep of incoming links": Activity(link_activities.prepare_sweep_links, 10, 100),
    "sweep of the executor": Activity(link_activities.prepare_executor, 20, 200),
    "sweep of callers, status": Activity(link_activities.prepare_sweep, 2, 100),
    "ping sent": Activity(link_activities.prepare_ping, 5, 200),
    "ping answered": Activity(link_activities.prepare_answer, 5, 200),
    "pong taken": Activity(link_activities.prepare_pong, 5, 200),
    "answer to a peer behind": Activity(link_activities.prepare_answer_news, 0, 100),
    "answer to a new peer": Activity(link_activities.prepare_answer_whole, 0, 5),
    "answer after many deaths": Activity(link_activities.prepare_answer_deaths, 0, 20),
    "change of a server": Activity(state_activities.prepare_change, 0, 30),
    "removal and return": Activity(state_activities.prepare_removal, 0, 30),
    "host joins or is gone": Activity(state_activities.prepare_host, 0, 20),
    "broadcast of a change": Activity(link_activities.prepare_broadcast, 0, 50),
    "update taken again": Activity(link_activities.prepare_update, 0, 100),
    "configuration read again": Activity(state_activities.prepare_configuration, 0, 4),
    "new configuration": Activity(state_activities.prepare_new_configuration, 0, 4),
    "snapshot read again": Activity(state_activities.prepare_snapshot, 0, 2),
    "page of metrics": Activity(state_activities.prepare_metrics, 0, 10),
    "page of status": Activity(state_activities.prepare_status, 0, 10),
    "link reset, opened again": Activity(link_activities.prepare_reconnect, 0, 50),
    "check, 1 in 8 hosts lost": Activity(link_activities.prepare_unreachable, 0, 50),
}
