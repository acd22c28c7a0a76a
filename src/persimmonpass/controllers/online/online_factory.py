"""Creates and connects the controllers of online requests."""

import collections.abc
import random
import typing

from persimmonpass import blackboard
from persimmonpass.controllers.online import admission
from persimmonpass.controllers.online import attempts
from persimmonpass.controllers.online import calls
from persimmonpass.controllers.online import completions
from persimmonpass.controllers.online import keys as key_controller
from persimmonpass.controllers.online import online
from persimmonpass.controllers.targets import health
from persimmonpass.controllers.targets import in_flight_exchange
from persimmonpass.controllers.targets import quarantine
from persimmonpass.controllers.targets import target_chooser
from persimmonpass import in_flight
from persimmonpass import metrics
from persimmonpass.peers import port as peer_port
from persimmonpass import store
from persimmonpass.targets import engine
from persimmonpass.targets import probe
from persimmonpass.targets import service
from persimmonpass import tracing

BackgroundTask = collections.abc.Callable[[], collections.abc.Awaitable[None]]


class OnlinePorts(typing.NamedTuple):
    """Dependencies of the controllers of online requests.

    :ivar key_calls: controller of the idempotency keys
    :ivar mark_leaving: takes a target's name and address, and notifies all
        hosts that the target is leaving
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

    :ivar background_tasks: functions to run in the background as long as the
        host runs
    :ivar handlers: handlers of peers' notices
    """

    online: online.Online
    suspects: quarantine.Quarantine
    background_tasks: list[BackgroundTask]
    handlers: peer_port.Handlers


def make(
    ports: OnlinePorts,
    availability_zone: str,
    connect: probe.Connect = probe.connect,
    draw: collections.abc.Callable[[int], int] = random.randrange,
) -> OnlineControllers:
    """Return the controllers of one host.

    :param availability_zone: availability zone of this host
    :param connect: checks whether a target accepts connections
    :param draw: returns a random number below its argument
    """
    counts_exchange = in_flight_exchange.InFlightExchange(
        ports.sent, ports.peers
    )
    target_health = health.Health(
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
        target_health,
        suspects,
        availability_zone,
        draw,
    )
    attempt_controller = attempts.Attempts(
        chooser,
        target_health,
        suspects,
        ports.sent,
        ports.counters,
        ports.mark_leaving,
    )
    controller = online.Online(
        ports.key_calls,
        admission.Admission(),
        completions.Completions(
            attempt_controller, ports.engines, ports.spans
        ),
        calls.Calls(attempt_controller, ports.services, ports.spans),
        ports.spans,
    )
    background_tasks: list[BackgroundTask] = [
        counts_exchange.run,
        target_health.run,
        suspects.run,
        chooser.run,
    ]
    handlers = (
        counts_exchange.handlers | suspects.handlers | target_health.handlers
    )
    return OnlineControllers(controller, suspects, background_tasks, handlers)
