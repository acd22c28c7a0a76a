"""Membership and configuration of three daemons while one is frozen."""

import signal
import unittest

from tests import processes

ADMIN = {'Authorization': f'Bearer {processes.ADMIN_TOKEN}'}


class TestFrozenHost(unittest.TestCase):
    """A host whose process is stopped and continued."""

    def setUp(self):
        self.fleet = processes.Fleet(('ruai', 'kasarani', 'embakasi'))
        self.addCleanup(self.fleet.close)
        self.fleet.wait_ready()
        self.frozen = self.fleet.hosts[2]
        self.address = self.frozen.caller.removeprefix('http://')

    def _addresses(self, host):
        answer = processes.CLIENT.get(f'{host.caller}/v1/entry')
        seconds = int(answer.json()['ttl_seconds'])
        self.assertEqual(f'max-age={seconds}', answer.headers['cache-control'])
        return answer.json()['addresses']

    def _put(self, host, label):
        answer = processes.CLIENT.put(
            f'{host.operator}/v1/objects',
            json={
                'kind': 'target',
                'name': 'engine-1',
                'labels': {'say': label},
                'spec': {},
            },
            headers=ADMIN,
        )
        answer.raise_for_status()
        return answer.json()['version']

    def _spread(self, host, version):
        answer = processes.CLIENT.get(
            f'{host.operator}/v1/config/spread/target/engine-1',
            params={'version': version},
            headers=ADMIN,
        )
        return answer.json()

    def _version(self, host):
        url = f'{host.operator}/v1/objects/target/engine-1'
        answer = processes.CLIENT.get(url, headers=ADMIN)
        return answer.json().get('version', 0)

    def test_frozen_host_is_removed_and_returns(self):
        first = self._put(self.fleet.hosts[0], 'first')
        processes.wait_until(
            lambda: not self._spread(self.fleet.hosts[0], first)['waiting']
        )
        self.frozen.send(signal.SIGSTOP)
        for host in self.fleet.hosts[:2]:
            processes.wait_until(
                lambda host=host: self.address not in self._addresses(host)
            )
        second = self._put(self.fleet.hosts[1], 'second')
        spread = self._spread(self.fleet.hosts[0], second)
        self.assertNotIn(self.frozen.host, spread['in_force'])
        self.frozen.send(signal.SIGCONT)
        versions = []

        def is_back():
            versions.append(self._version(self.frozen))
            return versions[-1] == second

        processes.wait_until(is_back)
        self.assertEqual(sorted(versions), versions)
        self.assertGreaterEqual(versions[0], first)
        for host in self.fleet.hosts:
            processes.wait_until(
                lambda host=host: len(self._addresses(host)) == 3
            )
        processes.wait_until(
            lambda: not self._spread(self.fleet.hosts[0], second)['waiting']
        )

    def test_spread_checks_its_input(self):
        url = f'{self.frozen.operator}/v1/config/spread/target/engine-1'
        for version, headers, status in (
            ('1', {}, 401),
            ('x', ADMIN, 400),
            ('', ADMIN, 400),
        ):
            answer = processes.CLIENT.get(
                url, params={'version': version}, headers=headers
            )
            self.assertEqual(status, answer.status_code, answer.text)
