"""Puts the controllers of online requests together."""

import collections.abc
import random
import typing

from persimmonpass import blackboard
from persimmonpass.controllers import admission
from persimmonpass.controllers import attempts
from persimmonpass.controllers import calls
from persimmonpass.controllers import completions
from persimmonpass.controllers import health
from persimmonpass.controllers import in_flight_exchange
from persimmonpass.controllers import keys as key_controller
from persimmonpass.controllers import online
from persimmonpass.controllers import quarantine
from persimmonpass.controllers import target_chooser
from persimmonpass import in_flight
from persimmonpass import metrics
from persimmonpass.peers import port as peer_port
from persimmonpass import store
from persimmonpass.targets import engine
from persimmonpass.targets import probe
from persimmonpass.targets import service
from persimmonpass import tracing

Job = collections.abc.Callable[[], collections.abc.Awaitable[None]]


class OnlinePorts(typing.NamedTuple):
    """What the controllers of online requests work with.

    :ivar mark_leaving: tells all hosts that the target of a name at an
        address is leaving
    """

    board: blackboard.Blackboard
    store: store.StorePort
    key_calls: key_controller.Keys
    peers: peer_port.PeerPort
    engines: engine.EnginePort
    cache_events: engine.ReadCacheEvents
    services: service.ServicePort
    sent: in_flight.InFlight
    counters: metrics.Metrics
    spans: tracing.Tracing
    mark_leaving: attempts.MarkLeaving


class OnlineControllers(typing.NamedTuple):
    """Controllers of online requests.

    :ivar background_tasks: what runs in the background for ever
    :ivar handlers: handlers of peers' notices
    """

    online: online.Online
    suspects: quarantine.Quarantine
    background_tasks: list[Job]
    handlers: peer_port.Handlers


def make(
    ports: OnlinePorts,
    availability_zone: str,
    connect: probe.Connect = probe.connect,
    draw: collections.abc.Callable[[int], int] = random.randrange,
) -> OnlineControllers:
    """Make the controllers of one host.

    :param availability_zone: zone of this host
    :param connect: tries whether a target takes connections
    :param draw: random number below its argument
    """
    shared = in_flight_exchange.InFlightExchange(ports.sent, ports.peers)
    healths = health.Health(
        ports.board,
        probe.make_probe(ports.engines, connect),
        ports.peers,
    )
    suspects = quarantine.Quarantine(
        ports.store, ports.peers, ports.sent, connect
    )
    chooser = target_chooser.Chooser(
        ports.board,
        ports.sent,
        ports.cache_events,
        healths,
        suspects,
        availability_zone,
        draw,
    )
    tries = attempts.Attempts(
        chooser,
        healths,
        suspects,
        ports.sent,
        ports.counters,
        ports.mark_leaving,
    )
    made = online.Online(
        ports.key_calls,
        admission.Admission(),
        completions.Completions(tries, ports.engines, ports.spans),
        calls.Calls(tries, ports.services, ports.spans),
        ports.spans,
    )
    background_tasks: list[Job] = [
        shared.run,
        healths.run,
        suspects.run,
        chooser.run,
    ]
    handlers = shared.handlers | suspects.handlers | healths.handlers
    return OnlineControllers(made, suspects, background_tasks, handlers)
