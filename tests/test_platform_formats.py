"""Tests the platform's formats (settings, requests, jobs) and the log sink."""

import os
import pathlib
import re
import subprocess
import sys
import sysconfig
import tempfile
import tomllib
import unittest
from unittest import mock

import anyio
import parameterized
import result

from persimmonpass import blackboard
from persimmonpass.cli import gateway as command
from persimmonpass import exceptions
from persimmonpass import exchange
from persimmonpass import job_records
from persimmonpass import log_sink
from persimmonpass.platform import app
from persimmonpass.platform import jobs
from persimmonpass.platform import objects
from persimmonpass.platform import settings
from persimmonpass.platform import wire
from persimmonpass import records
from persimmonpass import routes
from tests import fakes
from tests import platform_fakes
from tests import processes

expand = parameterized.parameterized.expand
SOURCE = processes.ROOT / 'src' / 'persimmonpass'
PLATFORM = SOURCE / 'platform'
LAUNCHER = processes.ROOT / 'deploy' / 'launch.py'
SYSTEM = processes.ROOT / 'deploy' / 'system.toml'
TARGET = blackboard.Target('i-1', '10.0.0.1:80', 'engine', 'a', {})
SETTINGS = """
nodeName: "edge-a-1"
zone: "a"
ip: "10.1.0.10"
newField: 3
listen:
  front: "10.1.0.10:8161"
  ready: "10.1.0.10:8167"
portRange: [7720, 7735]
seeds: ["10.1.0.10:8166", "10.2.0.40:8166"]
bounds: {graceS: 8, drainMs: 2000}
limits: {cpuShare: 0.537, cores: 2, memoryMb: 300}
platform: {address: "10.200.1.7:8169", writesPerS: 400}
"""
# Names of the platform. Only the modules of its package may contain them.
WIRE_NAMES = re.compile(
    r'/persimmonpass/|nodeName|portRange|pathPrefix|runTargetMs|maxAttempts'
    r'|sloMs|storeRevision|waitMs|hasMore|Expect-Instance'
    r'|Not-Executed|Deadline-Ms|dead_letter|Response-Signature|Token-Usage'
    r'|not-executed|expect-instance|request-id|deadline-ms|wait-ms'
    r'|Server-Leaving|server-leaving'
)


def call(headers=(), body=b'x', path=b'/a?b=%41', method='POST'):
    return wire.read_call(
        method,
        path,
        [(b'host', b'h'), (b'request-id', b'r1'), *headers],
        body,
    )


class TestSettings(unittest.TestCase):
    def read(self, text):
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / 'boot.yaml'
            path.write_text(text)
            return settings.read(str(path))

    def test_fields(self):
        settings_ = self.read(SETTINGS)
        self.assertEqual('edge-a-1', settings_.host)
        self.assertEqual('10.1.0.10:7720', settings_.peer_listen)
        self.assertEqual(('10.2.0.40:7720',), settings_.seed_peers)
        self.assertEqual('', settings_.entry_listen)
        self.assertEqual(8.0, settings_.grace_seconds)
        self.assertAlmostEqual(1.074, settings_.cores)

    @expand(
        [
            ('no yaml', '{', 'boot.yaml'),
            ('missing', 'zone: a', 'nodeName'),
            ('wrong type', SETTINGS.replace('"a"', '[]'), 'zone'),
            ('one port', SETTINGS.replace('[7720, 7735]', '[1]'), 'portRange'),
            ('few ports', SETTINGS.replace('7735', '7720'), 'portRange'),
        ]
    )
    def test_invalid_file(self, _, text, named):
        with self.assertRaises(exceptions.SettingsError) as caught:
            self.read(text)
        self.assertIn(named, str(caught.exception))
        self.assertNotIn('\n', str(caught.exception))

    def test_missing_file(self):
        with self.assertRaises(exceptions.SettingsError):
            settings.read('/nonexistent/boot.yaml')

    @expand(
        [
            (program, text, named)
            for program in ('host', 'storage')
            for text, named in (('{', 'boot.yaml'), ('zone: a', 'nodeName'))
        ]
    )
    def test_program_exits_with_one_error_line(self, program, text, named):
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / 'boot.yaml'
            path.write_text(text)
            done = subprocess.run(
                [sys.executable, str(LAUNCHER), program],
                env={**os.environ, settings.PATH_VARIABLE: str(path)},
                capture_output=True,
                text=True,
                timeout=60,
            )
        self.assertEqual(2, done.returncode)
        self.assertEqual(1, len(done.stderr.splitlines()), done.stderr)
        self.assertIn(named, done.stderr)

    def test_programs_start_with_the_packages_of_the_build_only(self):
        deployed = tomllib.loads(SYSTEM.read_text())
        for name, role in deployed['roles'].items():
            with self.subTest(role=name):
                words = role['run'].split()
                self.assertEqual(['python3', '-S'], words[:2])
        # Everything that a start needs is among the packages of the build.
        done = subprocess.run(
            [sys.executable, '-S', str(LAUNCHER), 'host'],
            env={
                settings.PATH_VARIABLE: '/nonexistent/boot.yaml',
                'PYTHONPATH': sysconfig.get_path('purelib'),
            },
            capture_output=True,
            text=True,
            timeout=60,
        )
        self.assertEqual(2, done.returncode)
        self.assertIn('/nonexistent/boot.yaml', done.stderr)

    def test_reload_of_a_missing_file_does_not_raise(self):
        options = self.read(SETTINGS)
        command.reload('/nonexistent/boot.yaml', options)


class TestWire(unittest.TestCase):
    def test_call(self):
        request = call([(b'Deadline-Ms', b'1500'), (b'Last-Event-Id', b'7')])
        self.assertEqual('r1', request.id)
        self.assertEqual('/a', request.route_path)
        self.assertEqual(1.5, request.deadline_seconds)
        self.assertEqual(7, request.resume_after)

    def test_headers_to_target(self):
        request = call(
            [
                (b'Connection', b'keep-alive'),
                (b'Deadline-Ms', b'1500'),
                (b'Model', b'm'),
                (b'content-length', b'1'),
            ]
        )
        self.assertEqual(
            [
                (b'Host', b'h'),
                (b'Request-Id', b'r1'),
                (b'Model', b'm'),
                (b'Deadline-Ms', b'1200'),
                (b'Expect-Instance', b'i-1'),
                (b'Last-Event-Id', b'3'),
                (b'Content-Length', b'1'),
            ],
            wire.encode(request, TARGET, 1.2, 3),
        )

    @expand(
        [
            ('own', 200, [(b'Request-Id', b'r1')], True, False, False),
            ('foreign', 200, [(b'Request-Id', b'r2')], False, False, False),
            ('nameless', 200, [], False, False, False),
            ('full', 503, [(b'Not-Executed', b'1')], True, True, False),
            ('a 503 that ran', 503, [(b'Request-Id', b'r1')], True, False,
             False),
            ('elsewhere', 421, [], True, True, True),
            ('foreign refusal', 503,
             [(b'Not-Executed', b'1'), (b'Request-Id', b'r2')], False, True,
             False),
        ]
    )  # fmt: skip
    def test_head(self, _, status, headers, own, not_run, other):
        head = wire.decode(call(), status, headers)
        self.assertEqual(
            (own, not_run, other),
            (head.is_for_request, head.not_run, head.is_misdirected),
        )

    @expand(
        [
            ('events', 200, b'text/event-stream', True),
            ('with charset', 200, b'text/event-stream; charset=utf-8', True),
            ('json', 200, b'application/json', False),
            ('failed', 500, b'text/event-stream', False),
        ]
    )
    def test_stream(self, _, status, kind, expected):
        headers = [(b'Request-Id', b'r1'), (b'Content-Type', kind)]
        head = wire.decode(call(), status, headers)
        self.assertEqual(expected, head.is_stream)


class TestCallerApp(unittest.TestCase):
    @expand(
        [
            # parts of the body, whether the caller stays, served body, status
            ('whole', [b'ab', b'c'], True, b'abc', None),
            ('empty', [], True, b'', None),
            ('too long', [b'abcd', b'efgh'], True, None, 413),
            ('cut after a part', [b'ab'], False, None, None),
            ('cut before the first part', [], False, None, None),
        ]
    )
    def test_body(self, _, parts, caller_stays, served_body, status):
        """A request whose body is cut short must not reach a target."""
        messages = [
            {'type': 'http.request', 'body': part, 'more_body': True}
            for part in parts
        ]
        if caller_stays:
            messages.append({'type': 'http.request', 'body': b''})
        else:
            messages.append({'type': 'http.disconnect'})
        served = []
        sent = []

        async def receive():
            if messages:
                return messages.pop(0)
            await anyio.sleep_forever()

        async def send(message):
            sent.append(message)

        async def find_route(head):
            return result.Ok(mock.Mock(kind=routes.Kind.STREAM))

        async def authenticate(found_call, route):
            return result.Ok(found_call)

        async def serve(found_call, route, port):
            served.append(found_call.body)

        ports = mock.Mock(
            find_route=find_route,
            authenticate=authenticate,
            accepts=lambda call, route: result.Ok(None),
            cancelled_at_stop=lambda key: anyio.CancelScope(),
            serve=serve,
            max_body_bytes=lambda: 6,
        )
        scope = {
            'type': 'http',
            'method': 'POST',
            'raw_path': b'/a',
            'query_string': b'',
            'headers': [(b'host', b'h'), (b'request-id', b'r')],
        }

        async def test():
            with anyio.fail_after(5):
                await app.make_caller_app(ports)(scope, receive, send)

        fakes.run(test)
        self.assertEqual([] if served_body is None else [served_body], served)
        statuses = [m['status'] for m in sent if 'status' in m]
        if served_body is None:
            self.assertEqual([] if status is None else [status], statuses)


class TestEvents(unittest.TestCase):
    @expand(
        [
            ('whole', [b'id: 1\ndata: a\n\n'], [(1, b'a')], False),
            ('cut', [b'id: 1\ndata: a\n'], [], True),
            ('split', [b'id: 1\nda', b'ta: a\n', b'\n'], [(1, b'a')], False),
            ('two', [b'id:1\ndata:a\n\nid:2\ndata:b\n\n'],
             [(1, b'a'), (2, b'b')], False),
            ('lines', [b'id: 1\ndata: a\ndata: b\n\n'], [(1, b'a\nb')], False),
            ('no id', [b'data: a\n\n'], [(None, b'a')], False),
            ('other lines', [b'weight-versions: 3\nid: 4\ndata: x\n\n'],
             [(4, b'x')], False),
        ]
    )  # fmt: skip
    def test_reader(self, _, chunks, expected, has_partial_event):
        reader = exchange.EventReader()
        parsed = [event for chunk in chunks for event in reader.feed(chunk)]
        self.assertEqual(
            expected, [(event.id, event.data) for event in parsed]
        )
        self.assertEqual(has_partial_event, reader.has_partial_event)

    @expand([('partial', b''), ('whole in one chunk', b'\n\n')])
    def test_event_that_is_too_long(self, _, end):
        reader = exchange.EventReader()
        with self.assertRaises(ValueError):
            reader.feed(b'x' * (exchange.MAX_EVENT_BYTES + 1) + end)


class TestConfiguration(unittest.TestCase):
    def test_routes(self):
        data = platform_fakes.configuration(
            3,
            [
                platform_fakes.route(
                    '/a/',
                    split=[
                        {'service': 'x', 'weight': 90},
                        {'service': 'y', 'weight': 10},
                    ],
                ),
                platform_fakes.route('/a/b/', 'non_idempotent'),
                platform_fakes.route('/c/', 'of a later release'),
            ],
        )
        configuration = objects.read_configuration(
            records.Record('main', 1, data, {})
        )
        self.assertEqual(2, len(configuration.routes))
        first = routes.find(configuration.routes, platform_fakes.HOST, '/a/x')
        self.assertEqual(routes.Kind.STREAM, first.kind)
        self.assertEqual(0.3, first.objective_seconds)
        second = routes.find(
            configuration.routes, platform_fakes.HOST, '/a/b/c'
        )
        self.assertEqual('/a/b/', second.path_prefix)
        self.assertIsNone(routes.find(configuration.routes, 'other', '/a/x'))
        self.assertIsNone(
            routes.find(configuration.routes, platform_fakes.HOST, '/ab/')
        )
        picked = [
            routes.pick_service(first, f'r{number}') for number in range(1000)
        ]
        self.assertTrue(0.85 < picked.count('x') / 1000 < 0.95)


class TestEncodings(unittest.TestCase):
    """Encodings of a field that must not make the whole object unreadable."""

    @expand(
        [
            ('null', {'split': None, 'service': 'notes'}),
            ('null instead of a service', {
                'service': None, 'split': [{'service': 'notes', 'weight': 1}],
            }),
            ('whole float', {'maxAttempts': 2.0}),
            ('number as text', {'timeoutMs': '3000'}),
        ]
    )  # fmt: skip
    def test_configuration(self, _, terms):
        data = platform_fakes.configuration(
            3, [platform_fakes.route('/a/', **terms)]
        )
        found = objects.read_configuration(records.Record('main', 1, data, {}))
        route = found.routes[0]
        self.assertEqual('notes', route.shares[0].service)
        self.assertEqual((2, 3.0), (route.max_attempts, route.timeout_seconds))

    @expand([('v1', 'v1'), (None, ''), (2, '2'), (1.2, '1.2')])
    def test_software_version(self, version, expected):
        data = {**platform_fakes.Server().entry(), 'version': version}
        data['address'] = '10.0.0.1:80'
        found = objects.read_target(records.Record('i-1', 1, data, {}))
        self.assertEqual(expected, found.software_version)


class TestJobs(unittest.TestCase):
    def test_submission_and_page_of_results(self):
        body = platform_fakes.submission(1).encode()
        route = routes.Route(
            'jobs', 'h', '/jobs/', routes.Kind.JOB, (), 1.0, 1.0
        )
        job = jobs.read_job(call(body=body), route)
        self.assertEqual('r1', job.id)
        self.assertEqual(
            [
                job_records.Item(
                    'item-0', '/jobs/0', [('Model', 'm')], 'eA==', 10
                )
            ],
            job.items,
        )
        page = jobs.encode_page(
            2,
            1,
            [
                job_records.ItemResult(
                    'a', job_records.State.COMPLETED, 'x\ny'
                ),
                job_records.ItemResult('b', job_records.State.FAILED),
            ],
        )
        self.assertEqual(
            b'{"total":2,"next":1,"results":['
            b'{"id":"a","state":"completed","output":"x\\ny"},'
            b'{"id":"b","state":"dead_letter","output":""}]}',
            page,
        )


class TestPackageBoundaries(unittest.TestCase):
    def test_only_the_package_contains_platform_names(self):
        matches = [
            f'{path.relative_to(SOURCE)}: {name}'
            for path in SOURCE.rglob('*.py')
            if PLATFORM not in path.parents
            for name in WIRE_NAMES.findall(path.read_text())
        ]
        self.assertEqual([], matches)

    def test_package_makes_no_decisions(self):
        """It imports no policies and has no sleeps, retries or randomness."""
        pattern = re.compile(
            r'persimmonpass\.(policy|controllers)|\bsleep\(|random|retry\('
        )
        matches = [
            f'{path.name}: {match}'
            for path in PLATFORM.glob('*.py')
            for match in pattern.findall(path.read_text())
        ]
        self.assertEqual([], matches)

    def test_package_is_small(self):
        def count_lines(paths):
            return sum(len(path.read_text().splitlines()) for path in paths)

        total = count_lines(SOURCE.rglob('*.py'))
        self.assertLess(count_lines(PLATFORM.glob('*.py')), total / 10)

    def test_paths(self):
        self.assertTrue(app.READY_PATH.startswith('/'))


class TestLogSink(unittest.TestCase):
    def test_stopped_reader_does_not_block_the_writer(self):
        read_end, write_end = os.pipe()
        try:
            sink = log_sink.LogSink(write_end)
            for number in range(30_000):
                sink({'message_type': f'kind {number % 100}', 'x': 'y' * 90})
            self.assertGreater(sink.dropped, 0)
        finally:
            os.close(read_end)
            os.close(write_end)

    def test_lines_beyond_the_rate_limit_are_dropped(self):
        read_end, write_end = os.pipe()
        try:
            sink = log_sink.LogSink(write_end)
            for _ in range(log_sink.MAX_LINES_PER_SECOND * 3):
                sink({'message_type': 'a'})
            self.assertGreater(sink.dropped, 0)
            lines = os.read(read_end, 1_000_000).splitlines()
            self.assertLessEqual(
                len(lines), 2 * log_sink.MAX_LINES_PER_SECOND + 1
            )
        finally:
            os.close(read_end)
            os.close(write_end)


if __name__ == '__main__':
    unittest.main()
