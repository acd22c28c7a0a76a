"""Runs the membership policy of whole fleets in a plain loop.

``python -m bench.gossip [--hosts 3,8,32,100,900]`` kills one host and counts
until all others know it, without sockets or clocks. Bytes count beats and
answers in both directions with the headers of websockets, TCP and IP; a host
that is asked through others adds a second.
"""

import argparse
import json
import statistics
import typing

import cbor2

from persimmonpass import blackboard
from persimmonpass.controllers import membership
from persimmonpass.policy import membership as policy

SECONDS = 15.0
PROBE_SECONDS = 1.0
HEADER_BYTES = 66 + 8
FRAME_BYTES = 25
ZONES = 26


class Found(typing.NamedTuple):
    """What a simulated fleet did.

    :ivar first_knows_seconds: from the death until one host knows it
    :ivar all_know_seconds: until all hosts know it
    :ivar false_suspects: live hosts that one host doubted, over all ticks
    """

    hosts: int
    links_max: int
    first_knows_seconds: float
    all_know_seconds: float
    beats_per_second: float
    bytes_per_second_mean: float
    bytes_per_second_max: float
    false_suspects: int


class Fleet:
    """Views of hosts, one of which has just died.

    :ivar victim: the dead host
    """

    def __init__(self, count: int) -> None:
        rows = [_row(number) for number in range(count)]
        self.views = {
            row.host: policy.View(row, row.incarnation) for row in rows
        }
        for view in self.views.values():
            for row in rows:
                view.merge(row, 0.0)
            view.clear_gossip()
        self.links_max = max(len(v.links()) for v in self.views.values())
        self.victim = rows[count // 2].host
        del self.views[self.victim]
        self.sent = dict.fromkeys(self.views, 0)
        self.beats = 0
        self._waiting: list[tuple[float, policy.View, blackboard.Member]] = []

    def tick(self, now: float) -> None:
        """Let all hosts judge and beat once."""
        for view in self.views.values():
            view.expire_suspects(now)
            for host in view.heartbeat_peers():
                self._beat(view, host, now)
        due = [entry for entry in self._waiting if entry[0] <= now]
        for _, view, seen in due:
            view.mark_suspect(seen, now)
        self._waiting = [entry for entry in self._waiting if entry[0] > now]

    def knowing(self) -> int:
        """Return how many hosts know of the death."""
        rows = [view.get(self.victim) for view in self.views.values()]
        return sum(row is not None and row.state == 'dead' for row in rows)

    def false_suspects(self) -> int:
        """Return how many live hosts the first host doubts."""
        view = next(iter(self.views.values()))
        return sum(
            row.state != 'alive'
            for row in view.rows()
            if row.host != self.victim
        )

    def _beat(self, view: policy.View, host: str, now: float) -> None:
        self.beats += 1
        beat = view.make_heartbeat(0)
        self._count(beat, view.me.host, host)
        if host == self.victim:
            until = now + policy.HEARTBEAT_TIMEOUT_SECONDS + PROBE_SECONDS
            seen = view.get(host)
            assert seen is not None
            self._waiting.append((until, view, seen))
            return
        self.views[host].handle_heartbeat(beat, now)
        answer = self.views[host].make_heartbeat(0)
        view.handle_heartbeat(answer, now)
        self._count(answer, view.me.host, host)

    def _count(self, beat: policy.Heartbeat, *hosts: str) -> None:
        size = len(cbor2.dumps(membership.encode_heartbeat(beat)))
        for host in hosts:
            if host in self.sent:
                self.sent[host] += size + FRAME_BYTES + HEADER_BYTES


def _row(number: int) -> blackboard.Member:
    return blackboard.Member(
        f'host-{number:04}',
        number + 1,
        f'zone-{number % ZONES:02}',
        '10.20.30.40:8000',
        '10.20.30.40:8001',
        run='0123456789ab',
    )


def simulate(count: int) -> Found:
    """Kill one host of a fleet and follow the others."""
    fleet = Fleet(count)
    first = everyone = float('inf')
    doubts = 0
    now = 0.0
    while now < SECONDS:
        fleet.tick(now)
        now += policy.TICK_SECONDS
        doubts += fleet.false_suspects()
        if fleet.knowing():
            first = min(first, now)
        if fleet.knowing() == len(fleet.views):
            everyone = min(everyone, now)
    rates = [size / SECONDS for size in fleet.sent.values()]
    return Found(
        count,
        fleet.links_max,
        first,
        everyone,
        round(fleet.beats / SECONDS / len(fleet.views), 2),
        round(statistics.mean(rates)),
        round(max(rates)),
        doubts,
    )


def main() -> None:
    """Simulate fleets of several sizes and print a table and JSON."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--hosts', default='3,8,32,100,900')
    rows = []
    for count in parser.parse_args().hosts.split(','):
        rows.append(simulate(int(count))._asdict())
        print(rows[-1], flush=True)
    print(json.dumps(rows))


if __name__ == '__main__':
    main()
