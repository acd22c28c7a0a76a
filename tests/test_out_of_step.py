"""Streams that are resumed at a host that missed a release."""

import unittest

import anyio
import parameterized

from persimmonpass import blackboard
from persimmonpass.controllers.fleet import catalog
from persimmonpass.controllers.fleet import mirror
from persimmonpass.controllers.fleet import store_relay
from persimmonpass.controllers.online import stream_origins
from persimmonpass.controllers.targets import software_history
from persimmonpass.platform import objects
from persimmonpass.policy import stream_versions
from tests import fakes
from tests import record_fakes
from tests import test_software_history

expand = parameterized.parameterized.expand
KIND = 'servers'
HOSTS = ('a', 'b', 'c', 'd')
ROUTE = test_software_history.ROUTE


class Host:
    """What a host knows of targets, software and streams."""

    def __init__(self, fleet, name):
        self.board = blackboard.Blackboard()
        port = fleet.network.port(name, fleet.tasks)
        relay = store_relay.StoreRelay(name, fleet.direct(name), port)
        self.catalog = catalog.Catalog(
            name,
            self.board,
            catalog.CatalogPorts(
                lambda record: None,
                objects.read_target,
                'main',
                lambda: relay.seconds_since_failure,
                port,
            ),
        )
        self.copy = mirror.Mirror(
            name,
            KIND,
            relay.port,
            port,
            self.catalog.apply_targets,
            lambda: list(HOSTS),
        )
        self.history = software_history.SoftwareHistory(
            name,
            software_history.HistoryPorts(
                self.board,
                relay.port,
                port,
                lambda: None,
                lambda: HOSTS.index(name),
                self.copy.confirm,
            ),
            is_first_start=True,
        )
        self.catalog.listed.append(self.history.record_listed)
        self.origins = stream_origins.StreamOrigins(
            self.history, port, hosts=lambda: HOSTS
        )
        mirrors = {KIND: self.copy}
        fleet.network.handlers[name] = (
            relay.handlers
            | mirror.handlers(mirrors)
            | self.history.handlers
            | self.origins.handlers
        )
        fleet.tasks.start_soon(mirror.broadcast_freshness, mirrors, port)

    async def find(self, request_id):
        """Return the software at which a stream goes on, or ``None``."""
        found = await self.origins.find(request_id, ROUTE)
        return found and found.software


class Fleet:
    """Hosts that follow the targets in a store.

    :ivar cut_from_store: hosts whose calls to the store fail
    :ivar silent_store: hosts whose calls to the store are not answered
    """

    def __init__(self, tasks):
        self.tasks = tasks
        self.network = fakes.Network()
        self.memory = record_fakes.MemoryRecords()
        self.cut_from_store = set()
        self.silent_store = set()
        self.show('v1', 'v1')
        self.hosts = {name: Host(self, name) for name in HOSTS}
        for host in self.hosts.values():
            tasks.start_soon(host.copy.run)
            tasks.start_soon(host.history.run)

    def direct(self, name):
        """Return the calls of a host to the store."""

        def wrap(call):
            async def wrapped(*args):
                if name in self.silent_store:
                    await anyio.sleep(1.5)
                    return record_fakes.refused()
                if name in self.cut_from_store:
                    return record_fakes.refused()
                return await call(*args)

            return wrapped

        return type(self.memory.port)(*map(wrap, self.memory.port))

    def show(self, *versions):
        """Let servers of some versions register, and the others leave."""
        wanted = {
            f'i-{number}-{version}': version
            for number, version in enumerate(versions)
        }
        for kind, name in list(self.memory.rows):
            if kind == KIND and name not in wanted:
                self.memory.remove(KIND, name)
        for name, version in wanted.items():
            if (KIND, name) not in self.memory.rows:
                self.memory.put(KIND, name, entry(version))


def entry(version):
    return {
        'service': 'notes',
        'address': '127.0.0.1:1',
        'zone': 'a',
        'version': version,
        'slots': 8,
        'state': 'ready',
        'seq': 1,
    }


def cut_off(fleet):
    """Cut a host off from the others, which it reaches no longer."""
    fleet.network.silent.add('d')


def stand_still(fleet):
    """Let a host stand still: nothing reaches it, and it calls nobody."""
    fleet.network.silent.add('d')
    fleet.silent_store.add('d')


def cut_off_from_all(fleet):
    fleet.network.silent.add('d')
    fleet.cut_from_store.add('d')


def end_trouble(fleet):
    fleet.network.silent.clear()
    fleet.cut_from_store.clear()
    fleet.silent_store.clear()


class TestOutOfStep(unittest.TestCase):
    @expand(
        [
            (f'{trouble.__name__}_{wait}_{ends}', trouble, wait, ends)
            for trouble in (cut_off, stand_still, cut_off_from_all)
            for wait in (0.05, 0.3, 0.7, 1.2, 2.5)
            for ends in (False, True)
        ]
    )
    def test_stream_of_a_version_that_joined(self, _, trouble, wait, ends):
        """Guards against a stream that goes on at another version.

        A host misses that a version joined, and is asked for a stream that
        another host began there.
        """

        async def test(fleet):
            await anyio.sleep(40.0)
            trouble(fleet)
            await anyio.sleep(0.01)
            fleet.show('v1', 'v1', 'v2')
            await anyio.sleep(0.2)
            began = stream_versions.Origin('notes', 'v2')
            fleet.hosts['a'].origins.record('s', began)
            await anyio.sleep(wait)
            if ends:
                end_trouble(fleet)
            found = await fleet.hosts['d'].find('s')
            self.assertIn(found, ('v2', None))
            if ends:
                self.assertEqual('v2', found)

        on_fleet(test)

    @expand([('cut_off', cut_off), ('stand_still', stand_still)])
    def test_version_that_joined_and_left(self, _, trouble):
        """A version that was there only meanwhile is not forgotten."""

        async def test(fleet):
            await anyio.sleep(40.0)
            trouble(fleet)
            await anyio.sleep(0.01)
            fleet.show('v1', 'v1', 'v2')
            await anyio.sleep(0.2)
            began = stream_versions.Origin('notes', 'v2')
            fleet.hosts['a'].origins.record('s', began)
            fleet.show('v1', 'v1')
            await anyio.sleep(0.2)
            fleet.network.handlers.pop('a')
            end_trouble(fleet)
            self.assertIn(await fleet.hosts['d'].find('s'), ('v2', None))

        on_fleet(test)

    @expand(
        [
            ('calm', ()),
            ('host cut off from the others', (cut_off,)),
        ]
    )
    def test_one_version_for_the_whole_time(self, _, troubles):
        """A stream that no host remembers goes on as before."""

        async def test(fleet):
            await anyio.sleep(40.0)
            for trouble in troubles:
                trouble(fleet)
            await anyio.sleep(1.0)
            self.assertEqual('v1', await fleet.hosts['d'].find('s'))

        on_fleet(test)

    @expand([('refuses', 'cut_from_store'), ('silent', 'silent_store')])
    def test_store_is_down(self, _, calls):
        """Most hosts together know what the store cannot tell."""

        async def test(fleet):
            await anyio.sleep(40.0)
            getattr(fleet, calls).update(HOSTS)
            await anyio.sleep(1.0)
            began = anyio.current_time()
            self.assertEqual('v1', await fleet.hosts['d'].find('s'))
            self.assertLess(anyio.current_time() - began, 0.8)
            # One host alone may have missed a version.
            fleet.network.silent.add('d')
            self.assertIsNone(await fleet.hosts['d'].find('t'))

        on_fleet(test)

    def test_resumed_streams_share_a_call(self):
        """Streams that break off together do not call the store for each."""

        async def test(fleet):
            await anyio.sleep(40.0)
            host = fleet.hosts['d']
            before = fleet.memory.calls['watch']
            async with anyio.create_task_group() as tasks:
                for number in range(50):
                    tasks.start_soon(host.find, f's{number}')
            # Watchers call, too, at most once a moment.
            self.assertLessEqual(fleet.memory.calls['watch'] - before, 4)

        on_fleet(test)

    def test_peer_of_the_build_before(self):
        """It says nothing of its software, and other hosts still decide."""

        async def test(fleet):
            await anyio.sleep(40.0)
            for name in ('a', 'b'):
                handlers = fleet.network.handlers[name]
                fleet.network.handlers[name] = {
                    method: handler
                    for method, handler in handlers.items()
                    if method != stream_origins.METHOD_SOFTWARE
                }
            self.assertEqual('v1', await fleet.hosts['d'].find('s'))

        on_fleet(test)


def on_fleet(test):
    """Run a test with a fleet, on a clock that skips all waiting."""

    async def run():
        async with anyio.create_task_group() as tasks:
            fleet = Fleet(tasks)
            for host in fleet.hosts.values():
                await host.copy.ready.wait()
            await test(fleet)
            tasks.cancel_scope.cancel()

    fakes.run(run)


if __name__ == '__main__':
    unittest.main()
