"""The command-line tool against daemons: input, tables and events."""

import json
import pathlib
import tempfile
import unittest

import parameterized

from persimmonpass import objects
from tests import processes

SERVICE = """
kind: service
name: {name}
spec: {{selector: serves=pumpread, model: pumpread, version: '3'}}
"""
GOOD = SERVICE.format(name='good')


class TestTool(unittest.TestCase):
    """Two daemons; the objects to apply are in a temporary folder."""

    @classmethod
    def setUpClass(cls):
        cls.fleet = processes.Fleet(('ruai', 'kasarani'))
        cls.addClassCleanup(cls.fleet.close)
        cls.folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(cls.folder.cleanup)
        cls.fleet.wait_ready()

    def write(self, text):
        path = pathlib.Path(self.folder.name) / 'objects.yaml'
        data = text if isinstance(text, bytes) else text.encode()
        path.write_bytes(data)
        return str(path)

    def read_back(self):
        shown = self.fleet.run_tool('--output', 'json', 'get')
        self.assertEqual(0, shown.returncode, shown.stderr)
        return json.loads(shown.stdout)

    def assert_one_line(self, done, status, *parts):
        self.assertEqual(status, done.returncode, done.stderr)
        self.assertEqual(1, done.stderr.count('\n'), done.stderr)
        self.assertNotIn('Traceback', done.stderr)
        for part in parts:
            self.assertIn(part, done.stderr)

    @parameterized.parameterized.expand(
        [
            ('broken YAML', GOOD + '---\nkind: [', 'broken YAML'),
            ('not UTF-8', GOOD.encode() + b'---\nkind: \xff', 'broken YAML'),
            ('empty', '', 'no objects'),
            (
                'unknown kind',
                GOOD + '---' + SERVICE.format(name='b').replace('vice', 'vce'),
                "'service'?",
            ),
            ('unknown field', GOOD + '---\ncolour: red', 'colour'),
            (
                'selector',
                GOOD + '---' + SERVICE.format(name='b').replace('=', '=='),
                'spec.selector',
            ),
            (
                'api version',
                GOOD + '---\napi: persimmonpass/v9' + SERVICE.format(name='b'),
                'api:',
            ),
            ('twice', GOOD + '---' + GOOD, 'objects.yaml, object 1'),
            ('no object', GOOD + '---\n- 1', 'objects.yaml, object 2'),
        ]
    )  # fmt: skip
    def test_bad_file_changes_nothing(self, _, text, part):
        before = self.read_back()
        done = self.fleet.run_tool('apply', '-f', self.write(text))
        self.assert_one_line(done, 2, part)
        self.assertEqual(before, self.read_back())

    def test_forbidden_file_changes_nothing(self):
        digest = objects.token_digest('amina-token')
        person = (
            'kind: person\nname: amina\n'
            f'spec: {{role: operator, token_sha256: {digest}}}\n'
        )
        done = self.fleet.run_tool('apply', '-f', self.write(person))
        self.assertEqual(0, done.returncode, done.stderr)
        before = self.read_back()
        both = self.write(GOOD + '---\n' + person)
        done = self.fleet.run_tool('apply', '-f', both, token='amina-token')
        self.assert_one_line(done, 1, 'admin')
        self.assertEqual(before, self.read_back())

    @parameterized.parameterized.expand(
        [
            ('command', ['aply'], 2, "'apply'?"),
            ('job command', ['job', 'sumbit'], 2, "'submit'?"),
            ('kind', ['get', 'servcie'], 2, "'service'?"),
            ('delete kind', ['delete', 'taget', 'a'], 2, "'target'?"),
            ('label', ['label', 'target', 'a', 'x'], 2, 'key=value'),
            ('missing', ['get', 'service', 'nobody'], 1, 'does not exist'),
            ('explain kind', ['status', '--explain', 'pump', '1'], 2, 'kind'),
            ('url', ['--operator-url', 'x', 'status'], 2, 'ip:port'),
            ('down', ['--operator-url', 'http://127.0.0.1:1', 'get'], 1, ''),
        ]
    )
    def test_bad_arguments(self, _, arguments, status, part):
        done = self.fleet.run_tool(*arguments)
        self.assertEqual(status, done.returncode, done.stderr)
        self.assertNotIn('Traceback', done.stderr)
        self.assertIn(part, done.stderr)

    def test_token(self):
        done = self.fleet.run_tool('get', token='nobody')
        self.assert_one_line(done, 1, 'token is unknown')

    def test_apply_waits_until_all_hosts_have_it(self):
        path = self.write(SERVICE.format(name='waited'))
        done = self.fleet.run_tool('apply', '-f', path, '--wait', '10s')
        self.assertEqual(0, done.returncode, done.stderr)
        self.assertIn('in force on all live hosts', done.stdout)
        for host in range(2):
            shown = self.fleet.run_tool('get', 'service', 'waited', host=host)
            self.assertIn('waited', shown.stdout)

    def test_explain_gathers_from_all_hosts(self):
        self.fleet.list_target('gone', '127.0.0.1:1', 'engine', 'ruai', 'x')
        self.fleet.list_target(
            'gone', '127.0.0.1:1', 'engine', 'ruai', 'x', 'leaving'
        )

        def read_events():
            done = self.fleet.run_tool('status', '--explain', 'target', 'gone')
            hosts = ('host-0', 'host-1')
            return all(host in done.stdout for host in hosts) and done.stdout

        self.assertIn(
            'PP411 target_leaving', processes.wait_until(read_events)
        )

    def test_tables_and_json(self):
        done = self.fleet.run_tool('status')
        self.assertIn('host-1  kasarani', done.stdout)
        done = self.fleet.run_tool('--output', 'json', 'status')
        body = json.loads(done.stdout)
        self.assertEqual(2, len(body['members']))
