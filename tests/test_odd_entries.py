"""Odd entries that another writer left among those of the targets."""

import contextlib
import json
import unittest
from unittest import mock

import anyio
import httpx
import hypothesis
from hypothesis import strategies
import msgspec
import parameterized

from persimmonpass import blackboard
from persimmonpass import budget
from persimmonpass.controllers.targets import targets
from persimmonpass import events
from persimmonpass import exchange
from persimmonpass import lenient_json
from persimmonpass.peers import messages
from persimmonpass.platform import objects
from persimmonpass.platform import store
from persimmonpass import records
from persimmonpass import verdicts
from tests import platform_fakes
from tests import test_partial_answers

expand = parameterized.parameterized.expand
KIND = objects.TARGETS_KIND
# Deeper than JSON and CBOR decoders go, and than only the latter go.
DEPTHS = (100_000, 1_500, 700, 300)


def nested(depth):
    return '[' * depth + ']' * depth


def nested_objects(depth):
    return '{"a":' * depth + '1' + '}' * depth


# What an entry has in a field that hosts do not read.
ODD_VALUES = [
    *((f'lists {depth}', nested(depth)) for depth in DEPTHS),
    *((f'objects {depth}', nested_objects(depth)) for depth in DEPTHS),
    ('exponent', '1e999'),
    ('long exponent', '1e99999999999999999999'),
    ('many digits', '1' + '0' * 10_000),
    ('beyond 64 bits', '9' * 25),
    ('lone surrogate', '"\\ud800"'),
]
# Fields that hosts read.
ODD_FIELDS = [
    ('port too high', {'address': '127.0.0.1:70000'}),
    ('port zero', {'address': '127.0.0.1:0'}),
    ('negative port', {'address': '127.0.0.1:-1'}),
    ('port of many digits', {'address': '127.0.0.1:' + '9' * 5000}),
    ('port in other digits', {'address': '127.0.0.1:\u0663'}),
    ('no number', {'address': '127.0.0.1:http'}),
    ('no port', {'address': '127.0.0.1'}),
    ('no host', {'address': ':80'}),
    ('empty address', {'address': ''}),
    ('path', {'address': '127.0.0.1:80/x'}),
    ('user', {'address': 'a@127.0.0.1:80'}),
    ('white space', {'address': '127.0.0.1 :80'}),
    ('line break', {'address': '127.0.0.1\r\n:80'}),
    ('not Latin', {'address': '\u0b9a.example:80'}),
    ('no address', {'address': None}),
    ('number above 255', {'address': '10.128.0.300:8080'}),
    ('three numbers', {'address': '10.128.3:8080'}),
    ('five numbers', {'address': '10.1.2.3.4:8080'}),
    ('leading zero', {'address': '010.1.2.3:8080'}),
    ('one number', {'address': '9:8080'}),
    ('dots', {'address': '...:8080'}),
    ('hyphen', {'address': '-:8080'}),
    ('empty label', {'address': 'a..b:8080'}),
    ('long label', {'address': 'a' * 64 + '.example:8080'}),
    ('long name', {'address': 'a.' * 150 + 'example:8080'}),
    ('IPv6 out of range', {'address': '[1::10000]:80'}),
    ('IPv6 with two gaps', {'address': '[1::2::3]:80'}),
    ('IPv6 with a zone', {'address': '[fe80::1%eth0]:80'}),
    ('port with sign', {'address': '127.0.0.1:+80'}),
    ('port with underscore', {'address': '127.0.0.1:8_0'}),
    ('slots beyond 64 bits', {'slots': 10**25}),
    ('slots beyond floats', {'slots': 10**400}),
    ('negative slots', {'slots': -3}),
    ('slots as text', {'slots': 'many'}),
    ('service as list', {'service': ['notes']}),
]
SOUND_FIELDS = [
    ('as it is', {}),
    ('IPv6', {'address': '[::1]:80'}),
    ('name', {'address': 'engine-1.example:8080'}),
    ('name with underscore', {'address': 'engine_1:8080'}),
    ('IPv4 within IPv6', {'address': '[::ffff:10.0.0.1]:80'}),
    ('highest port', {'address': '127.0.0.1:65535'}),
    ('no slots', {'slots': None}),
    ('slots as whole float', {'slots': 8.0}),
    ('other fields', {'models': [{'name': 'm', 'adapters': []}]}),
    ('start beyond 64 bits', {'born': 10**25}),
]
ODD_NAMES = ['', 'i-\u0b9a', 'i\r\nX: 1', 'i\x00', ' ']


def entry(name, **fields):
    found = platform_fakes.Server(name).entry()
    found['address'] = '127.0.0.1:9'
    return {**found, **fields}


class TestReadTarget(unittest.TestCase):
    @expand(ODD_FIELDS)
    def test_unreadable(self, _, fields):
        record = records.Record('i-1', 1, entry('i-1', **fields), {})
        self.assertIsNone(objects.read_target(record))

    @expand(SOUND_FIELDS)
    def test_readable(self, _, fields):
        record = records.Record('i-1', 1, entry('i-1', **fields), {})
        self.assertIsNotNone(objects.read_target(record))

    @expand([(name,) for name in ODD_NAMES])
    def test_name_that_no_request_can_carry(self, name):
        record = records.Record(name, 1, entry('i-1'), {})
        self.assertIsNone(objects.read_target(record))


class TestStoreClient(unittest.TestCase):
    """One entry that cannot be read does not hide the others."""

    @expand(ODD_VALUES)
    def test_list(self, _, value):
        first = make_object('a', 1, '1')
        odd = make_object('odd', 2, value)
        last = make_object('z \\\\ \\" ]', 3, '1')
        pages = [
            f'{{"items":[{first},{odd}],"hasMore":true,"storeRevision":7}}',
            f'{{"items":[{last}],"hasMore":false,"storeRevision":8}}',
        ]

        async def test():
            async with connected(pages) as (port, asked):
                found = (await port.list(KIND)).unwrap()
                self.assertEqual(7, found.version)
                self.check_names(['a', 'odd', 'z \\ " ]'], found.records)
                self.assertEqual('odd', asked[1].params['after'])

        anyio.run(test)

    @expand(ODD_VALUES)
    def test_watch(self, _, value):
        rows = ','.join(
            f'{{"object":{make_object(name, number, row)},"deleted":{gone}}}'
            for name, number, row, gone in (
                ('odd', 5, value, 'false'),
                ('b', 6, '1', 'true'),
                ('c', 7, '1', 'false'),
            )
        )
        page = f'{{"events":[{rows}],"storeRevision":9}}'

        async def test():
            async with connected([page]) as (port, _):
                found = (await port.watch(KIND, 4, 0.0)).unwrap()
                self.assertEqual(9, found.version)
                self.check_names(['odd', 'b', 'c'], found.records)
                self.assertEqual(
                    [False, True, False],
                    [row.deleted for row in found.records],
                )

        anyio.run(test)

    @expand(ODD_VALUES)
    def test_get(self, _, value):
        async def test():
            page = make_object('odd', 2, value)
            async with connected([page]) as (port, _):
                found = (await port.get(KIND, 'odd')).unwrap()
                self.check_names(['odd'], [found])

        anyio.run(test)

    def check_names(self, expected, found):
        """Check that records arrived and that a peer can read them."""
        self.assertEqual(expected, [row.name for row in found])
        for row in found:
            if row.name != 'odd':
                self.assertEqual('notes', row.data['service'])
        frame = messages.Frame(
            messages.FrameKind.NOTICE, 0, 'm', [list(row) for row in found]
        )
        messages.decode(messages.encode(frame))

    @expand(
        [
            ('cut', '{"items":[{"metadata":{"name":"a"'),
            ('no object', '[]'),
            ('text', '"items"'),
            ('no items', '{"items":1,"storeRevision":3}'),
            ('no version', '{"items":[]}'),
            ('no metadata', '{"items":[{}],"storeRevision":3}'),
            ('empty', ''),
            ('more brackets', '{"items":[' + ']' * 9 + '}'),
        ]
    )
    def test_malformed_page(self, _, page):
        async def test():
            async with connected([page]) as (port, _):
                failed = (await port.list(KIND)).err_value
                self.assertIs(events.STORE_UNAVAILABLE, failed.event)

        anyio.run(test)


VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.text(),
    lambda inner: (
        strategies.lists(inner)
        | strategies.dictionaries(strategies.text(), inner)
    ),
)


class TestSplit(unittest.TestCase):
    """The parts of a text are those that a decoder finds."""

    @hypothesis.given(
        strategies.dictionaries(strategies.text(), VALUES),
        strategies.sampled_from([None, 1]),
        strategies.booleans(),
    )
    def test_object(self, value, indent, is_ascii):
        text = json.dumps(value, indent=indent, ensure_ascii=is_ascii)
        parts = lenient_json.split_object(text.encode())
        found = {name: json.loads(part) for name, part in parts.items()}
        self.assertEqual(value, found)

    @hypothesis.given(
        strategies.lists(VALUES), strategies.sampled_from([None, 1])
    )
    def test_array(self, value, indent):
        text = json.dumps(value, indent=indent)
        parts = lenient_json.split_array(text.encode())
        self.assertEqual(value, [json.loads(part) for part in parts])

    @hypothesis.given(VALUES)
    def test_depth(self, value):
        depth = 0
        while lenient_json.is_deeper(value, depth):
            depth += 1
        self.assertEqual(count_levels(value), depth)

    @hypothesis.given(strategies.binary())
    def test_any_bytes(self, data):
        for split in (lenient_json.split_array, lenient_json.split_object):
            with contextlib.suppress(ValueError, msgspec.DecodeError):
                split(data)


def count_levels(value):
    """Return how deeply lists and mappings are nested, 0 for neither."""
    if not isinstance(value, dict | list):
        return 0
    inner = value.values() if isinstance(value, dict) else value
    return 1 + max(map(count_levels, inner), default=0)


class TestFleet(unittest.TestCase):
    @expand(
        [
            *(('value ' + name, raw, {}) for name, raw in ODD_VALUES[::2]),
            *(('field ' + name, '1', row) for name, row in ODD_FIELDS[:6]),
            ('slots', '1', {'slots': 10**400}),
        ]
    )
    def test_hosts_go_on(self, _, raw, fields):
        """Hosts go on to follow the list and to serve requests."""

        async def test():
            async with platform_fakes.fleet(('one', 'two'), 2) as fleet:
                memory = fleet.store.memory
                service = 'notes' if fields else 'other'
                odd = entry('odd', service=service, odd='@odd') | fields
                fleet.store.raw['odd'] = raw
                memory.put(KIND, 'odd', odd)
                await anyio.sleep(0.3)
                first, last = fleet.servers
                memory.put(KIND, first.name, first.entry('draining'))
                await anyio.sleep(0.5)
                # A host that lists all entries again reads the odd one again.
                memory.forget_history()
                await anyio.sleep(0.5)
                memory.put(KIND, last.name, last.entry() | {'seq': 2})
                for number in range(6):
                    host = ('one', 'two')[number % 2]
                    answer = await fleet.post(
                        '/notes/a', host=host, **{'Request-Id': f'r{number}'}
                    )
                    self.assertEqual(200, answer.status_code)
                self.assertEqual([], first.runs)
                self.assertEqual(6, len(last.runs))
                await fleet.start_host('three', fleet.store_address)
                answer = await fleet.post(
                    '/notes/a', host='three', **{'Request-Id': 'r'}
                )
                self.assertEqual(200, answer.status_code)

        with contextlib.ExitStack() as stack:
            failed = stack.enter_context(failed_tasks())
            platform_fakes.run(test)
        self.assertEqual([], failed)

    @expand(
        [
            (name, fields)
            for name, fields in ODD_FIELDS
            if isinstance(fields.get('address'), str)
        ]
    )
    def test_streams_and_items_of_others_are_served(self, _, fields):
        """An address that no URL can have ended all batch work."""

        async def test():
            async with platform_fakes.fleet() as fleet:
                odd = entry('odd', service='notes') | fields
                fleet.store.memory.put(KIND, 'odd', odd)
                await anyio.sleep(0.3)
                for number in range(6):
                    answer = await fleet.post(
                        '/notes/a', **{'Request-Id': f'r{number}'}
                    )
                    self.assertEqual(200, answer.status_code)
                await fleet.post(
                    '/jobs/x',
                    platform_fakes.submission(6),
                    **{'Request-Id': 'job'},
                )
                with anyio.fail_after(5):
                    await fleet.results('job', 6)

        with failed_tasks() as failed:
            platform_fakes.run(test)
        self.assertEqual([], failed)


class TestListOfDaemon(unittest.TestCase):
    """The same in the list of persimmonpassd."""

    @expand(
        [
            (name, fields['address'])
            for name, fields in ODD_FIELDS
            if isinstance(fields.get('address'), str)
        ]
    )
    def test_entry_is_left_out(self, _, address):
        rows = [
            {
                'name': name,
                'address': text,
                'kind': 'engine',
                'availability_zone': 'a',
            }
            for name, text in (('odd', address), ('sound', '127.0.0.1:9'))
        ]

        async def test():
            transport = httpx.MockTransport(
                lambda request: httpx.Response(200, json=rows)
            )
            async with httpx.AsyncClient(transport=transport) as client:
                read = targets.make_list_call(
                    client, 'http://h', budget.Budget(1e6, 1e6)
                )
                found = (await read()).unwrap()
            self.assertEqual(['sound'], [row.name for row in found])

        anyio.run(test)


class TestClient(unittest.TestCase):
    """A request that cannot be made has not run, and ends nothing else."""

    @expand([('10.0.0.300:80',), ('[1::2::3]:80',), ('a b:80',)])
    def test_target_without_a_url(self, address):
        target = blackboard.Target('t', address, 'engine', 'a', {})
        call = exchange.Call('c', 'POST', 'h', b'/x', [], b'')

        async def test():
            client = test_partial_answers.make_client()
            async with client.open(call, target, 1.0, repeatable=True) as sent:
                failure = sent.err_value
            self.assertIs(verdicts.Verdict.NOT_RUN, failure.verdict)
            await client.aclose()

        anyio.run(test)


@contextlib.contextmanager
def failed_tasks():
    """Collect the events of tasks that have ended by themselves."""
    failed = []
    original = events.log

    def log(event, **fields):
        if event is events.TASK_FAILED:
            failed.append(fields)
        original(event, **fields)

    with mock.patch.object(events, 'log', log):
        yield failed


def make_object(name, revision, raw):
    """Return the JSON of an entry with a value in a field of no meaning."""
    found = entry('i').items()
    fields = ','.join(
        f'{json.dumps(key)}:{json.dumps(value)}' for key, value in found
    )
    return (
        f'{{"metadata":{{"name":"{name}","revision":{revision}}},'
        f'"spec":{{{fields},"odd":{raw}}},"status":null}}'
    )


@contextlib.asynccontextmanager
async def connected(pages, status=200):
    """Connect a client to a store that answers with pages, in order.

    :param status: status of the answers
    :returns: the port, and the URLs of the calls
    """
    asked = []

    def answer(request):
        asked.append(request.url)
        return httpx.Response(status, content=pages[len(asked) - 1].encode())

    transport = httpx.MockTransport(answer)
    calls = budget.Budget(1e6, 1e6)
    async with httpx.AsyncClient(transport=transport) as client:
        yield store.connect(client, 'store.example:80', calls), asked


if __name__ == '__main__':
    unittest.main()
