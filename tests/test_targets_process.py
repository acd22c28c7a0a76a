"""Orders, lost models and leaving targets, in real processes."""

import tempfile
import unittest

import parameterized

from persimmonpass import objects
from tests import processes

ACCOUNT = {'Authorization': 'Bearer desk-token'}
CONFIG = f"""
kind: service
name: pumpread
spec: {{selector: serves=pumpread, model: pumpread, version: '3'}}
---
kind: model
name: pumpread-3
spec: {{model: pumpread, version: '3', selector: serves=pumpread}}
---
kind: account
name: desk
spec: {{token_sha256: {objects.token_digest('desk-token')}}}
"""


class TestTargetProcesses(unittest.TestCase):
    """Two hosts and one engine that starts without models."""

    def setUp(self):
        self.fleet = processes.Fleet(('ruai', 'kasarani'))
        self.addCleanup(self.fleet.close)
        self.fleet.wait_ready()
        with tempfile.NamedTemporaryFile('w', suffix='.yaml') as file:
            file.write(CONFIG)
            file.flush()
            done = self.fleet.run_tool(
                'apply', '-f', file.name, '--wait', '20s'
            )
        self.assertEqual(0, done.returncode, done.stderr)

    def start_empty(self, *arguments):
        engine = processes.Standin('engine', '--name', 'e', *arguments)
        self.fleet.programs.append(engine)
        self.list(engine)
        return engine

    def list(self, engine, state='live'):
        self.fleet.list_target(
            'e', engine.address, 'engine', 'ruai', 'pumpread', state
        )

    @staticmethod
    def state(engine):
        url = f'http://{engine.address}/v1/orders'
        return processes.CLIENT.get(url).json()

    def complete(self, host):
        return processes.CLIENT.post(
            f'{host.caller}/v1/completions',
            json={'model': 'pumpread', 'prompt': 'p', 'max_tokens': 2},
            headers=ACCOUNT,
        ).status_code

    @parameterized.parameterized.expand([([],), (['--ignore-fencing'],)])
    def test_models_are_restored_and_leaving_engine_gets_no_work(
        self, arguments
    ):
        first = self.start_empty(*arguments)
        for host in self.fleet.hosts:
            processes.wait_until(lambda h=host: self.complete(h) == 200)
        self.assertEqual(['pumpread@3'], self.state(first)['models'])
        self.assertEqual(1, self.state(first)['fence'])
        first.close()
        second = self.start_empty(*arguments)
        processes.wait_until(lambda: self.state(second)['models'])
        for host in self.fleet.hosts:
            processes.wait_until(lambda h=host: self.complete(h) == 200)
        self.list(second, 'leaving')
        for host in self.fleet.hosts:
            processes.wait_until(lambda h=host: self.complete(h) == 503)
        done = self.fleet.run_tool('status', '--explain', 'target', 'e')
        self.assertIn('PP414 target_ordered', done.stdout)
        self.assertIn('PP411 target_leaving', done.stdout)
