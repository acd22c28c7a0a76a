"""End-to-end tests with injected faults, one at a time and in pairs.

Three daemons, three engines, a plain service and the platform run as
processes. A steady online load, a batch job and non-idempotent calls continue
while the faults of a scenario are injected and removed. Afterwards the test
reads all results back and compares them with what the callers received.
"""

import collections
import json
import signal
import typing
import unittest

import anyio
import httpx
import msgspec
import parameterized

from persimmonpass import client
from persimmonpass.standins import engine
from tests import forwarder
from tests import processes

ZONES = ('ruai', 'kasarani', 'embakasi')
TOKEN = 'athi-desk-token'
ACCOUNT = {'Authorization': f'Bearer {TOKEN}'}
REQUESTS = 40
ITEMS = 60
CALLS = 12
TOKENS = 8
CALLERS = 4
BEFORE_SECONDS = 0.4
FAULT_SECONDS = 1.6
SETTLE_SECONDS = 45.0
POLL_SECONDS = 0.1

SINGLE_FAULTS = (
    'kill_host',
    'freeze_host',
    'cut_peers',
    'silence_peers',
    'cut_store',
    'store_outage',
    'store_slow',
    'lost_answers',
    'operators_race',
    'kill_engine',
)
FAULT_PAIRS = (
    ('kill_host', 'store_outage'),
    ('kill_host', 'lost_answers'),
    ('freeze_host', 'store_slow'),
    ('cut_peers', 'lost_answers'),
    ('kill_engine', 'store_outage'),
    ('operators_race', 'kill_host'),
)
SCENARIOS = [(f'{name}', (name,)) for name in SINGLE_FAULTS]
SCENARIOS += [
    (f'{first}_and_{second}', (first, second)) for first, second in FAULT_PAIRS
]


class Received(typing.NamedTuple):
    """What the callers of a scenario received.

    :ivar completions: reply by idempotency key
    :ivar calls: replies by idempotency key
    :ivar versions: configuration versions in the order read, by host
    """

    completions: dict[str, client.Reply]
    calls: dict[str, list[client.Reply]]
    versions: dict[str, list[int]]


class TestFaults(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = processes.Fleet(ZONES, with_forwarders=True)
        cls.addClassCleanup(cls.fleet.close)
        for index, zone in enumerate(ZONES):
            cls.fleet.start_engine(f'engine-{index}', zone, 'pumpread@3')
        cls.fleet.start_service('crews', 'ruai')
        examples = processes.ROOT / 'examples' / 'athi'
        applied = cls.fleet.run_tool('apply', '-f', str(examples))
        assert applied.returncode == 0, applied.stderr
        cls.fleet.wait_ready()

    @parameterized.parameterized.expand(SCENARIOS)
    def test_results_survive_faults(self, scenario, faults):
        anyio.run(self._run_scenario, scenario, faults)

    async def _run_scenario(self, scenario, faults):
        received = Received({}, collections.defaultdict(list), {})
        async with httpx.AsyncClient(trust_env=False) as http:
            self.http = http
            await self._wait_serving()
            await self._submit(scenario)
            with anyio.fail_after(SETTLE_SECONDS):
                async with anyio.create_task_group() as tasks:
                    for index in range(CALLERS):
                        tasks.start_soon(
                            self._complete, scenario, received, index
                        )
                    tasks.start_soon(self._call, scenario, received)
                    tasks.start_soon(self._apply_faults, faults)
                await self._watch_versions(received)
                await self._wait_job(scenario)
            await self._check_completions(scenario, received)
            await self._check_calls(scenario, received)
            await self._check_job(scenario)
        for host, versions in received.versions.items():
            self.assertEqual(sorted(versions), versions, host)

    def _caller(self, index):
        seeds = [
            host.caller.removeprefix('http://') for host in self.fleet.hosts
        ]
        seeds = seeds[index % len(seeds) :] + seeds[: index % len(seeds)]
        return client.Caller(self.http, seeds, TOKEN, ZONES[index % 3])

    async def _wait_serving(self):
        with anyio.fail_after(SETTLE_SECONDS):
            for host in self.fleet.hosts:
                address = host.caller.removeprefix('http://')
                while True:
                    caller = client.Caller(self.http, [address], TOKEN)
                    sent = await caller.complete(
                        'pumpread', 'ready?', 1, f'{address}-{len(address)}'
                    )
                    knows_all = len(caller.addresses) == len(self.fleet.hosts)
                    if (
                        knows_all
                        and sent.is_ok()
                        and sent.ok_value.status == 200
                    ):
                        break
                    await anyio.sleep(POLL_SECONDS)

    async def _submit(self, scenario):
        lines = [
            json.dumps(
                {
                    'id': f'{n}',
                    'prompt': f'{scenario} {n}',
                    'max_tokens': TOKENS,
                }
            )
            for n in range(ITEMS)
        ]
        path = f'/v1/jobs/{scenario}?service=pumpread'
        content = '\n'.join(lines).encode()
        sent = await self._caller(0).send('PUT', path, content, scenario)
        self.assertEqual(202, sent.unwrap().status)

    async def _complete(self, scenario, received, index):
        caller = self._caller(index)
        for number in range(index, REQUESTS, CALLERS):
            key = f'{scenario}-{number}'
            sent = await caller.complete('pumpread', key, TOKENS, key)
            received.completions[key] = sent.unwrap()
            await anyio.sleep(POLL_SECONDS)

    async def _call(self, scenario, received):
        """Send each call twice, through two hosts, with the same key."""
        for number in range(CALLS):
            key = f'{scenario}-call-{number}'
            for index in (number, number + 1):
                sent = await self._caller(index).send(
                    'POST', '/v1/services/crews/dispatch', key.encode(), key
                )
                if sent.is_ok():
                    received.calls[key].append(sent.ok_value)
            await anyio.sleep(POLL_SECONDS)

    async def _apply_faults(self, faults):
        await anyio.sleep(BEFORE_SECONDS)
        async with anyio.create_task_group() as tasks:
            for name in faults:
                tasks.start_soon(getattr(self, f'_{name}'))

    async def _kill_host(self):
        host = self.fleet.hosts[1]
        host.send(signal.SIGKILL)
        host.process.wait()
        await anyio.sleep(FAULT_SECONDS)
        self.fleet.hosts[1] = await anyio.to_thread.run_sync(
            self.fleet.start_host, host.host, ZONES[1]
        )

    async def _freeze_host(self):
        host = self.fleet.hosts[2]
        host.send(signal.SIGSTOP)
        await anyio.sleep(FAULT_SECONDS * 4)
        host.send(signal.SIGCONT)

    async def _cut_peers(self):
        await self._set_mode(self.fleet.links.values(), forwarder.CUT)

    async def _silence_peers(self):
        for link in self.fleet.links.values():
            link.set_mode(forwarder.SILENT)

    async def _cut_store(self):
        await self._set_mode([self.fleet.stores['host-0']], forwarder.CUT)

    async def _set_mode(self, forwarders, mode):
        for link in forwarders:
            link.set_mode(mode)
        await anyio.sleep(FAULT_SECONDS)
        for link in forwarders:
            link.set_mode(forwarder.PASS)

    async def _store_outage(self):
        await self._inject_store_fault(outage=True)

    async def _store_slow(self):
        await self._inject_store_fault(delay_seconds=0.4)

    async def _lost_answers(self):
        await self._inject_store_fault(lose_answers=10)

    async def _inject_store_fault(self, **switches):
        set_faults = self.fleet.platform.set_faults
        await anyio.to_thread.run_sync(lambda: set_faults(**switches))
        await anyio.sleep(FAULT_SECONDS)
        await anyio.to_thread.run_sync(set_faults)

    async def _operators_race(self):
        async with anyio.create_task_group() as tasks:
            for index in range(2):
                tasks.start_soon(self._patch_labels, index)

    async def _patch_labels(self, index):
        headers = {'Authorization': f'Bearer {processes.ADMIN_TOKEN}'}
        for number in range(10):
            answer = await self.http.patch(
                f'{self.fleet.hosts[index * 2].operator}'
                '/v1/objects/service/pumpread',
                json={'labels': {f'operator-{index}': str(number)}},
                headers=headers,
                timeout=SETTLE_SECONDS,
            )
            self.assertEqual(200, answer.status_code, answer.text)

    async def _kill_engine(self):
        killed = self.fleet.engines['engine-2']
        killed.send(signal.SIGKILL)
        killed.process.wait()
        await anyio.sleep(FAULT_SECONDS)
        await anyio.to_thread.run_sync(
            self.fleet.start_engine, 'engine-2', ZONES[2], 'pumpread@3'
        )

    async def _watch_versions(self, received):
        headers = {'Authorization': f'Bearer {processes.ADMIN_TOKEN}'}
        for _ in range(5):
            for host in self.fleet.hosts:
                answer = await self.http.get(
                    f'{host.operator}/v1/status', headers=headers
                )
                version = answer.json()['config_version']
                received.versions.setdefault(host.host, []).append(version)
            await anyio.sleep(POLL_SECONDS)

    async def _wait_job(self, scenario):
        while True:
            path = f'/v1/jobs/{scenario}'
            sent = await self._caller(0).send('GET', path, b'', scenario)
            body = msgspec.json.decode(sent.unwrap().body)
            if body.get('state') == 'finished':
                return
            await anyio.sleep(POLL_SECONDS)

    async def _check_completions(self, scenario, received):
        self.assertEqual(REQUESTS, len(received.completions))
        for key, reply in received.completions.items():
            self.assertEqual(200, reply.status, (key, reply))
            text = msgspec.json.decode(reply.body)['choices'][0]['text']
            self.assertEqual(engine.full_text(key, TOKENS), text)
            for index in range(len(ZONES)):
                await self._check_stored(key, reply, index)

    async def _check_stored(self, key, reply, index):
        """Read a reply back; one that was not recorded is committed later."""
        with anyio.fail_after(SETTLE_SECONDS):
            while True:
                stored = (await self._caller(index).read(key)).unwrap()
                if reply.recorded or stored.body == reply.body:
                    break
                await anyio.sleep(POLL_SECONDS)
        self.assertEqual(reply.body, stored.body, (key, index, reply.recorded))

    async def _check_calls(self, scenario, received):
        address = self.fleet.services['crews'].address
        answer = await self.http.get(f'http://{address}/control/runs')
        runs = answer.json()
        for number in range(CALLS):
            key = f'{scenario}-call-{number}'
            count = runs.get(f'POST /dispatch {key}', 0)
            self.assertLessEqual(count, 1, key)
            replies = received.calls[key]
            if any(reply.status == 200 for reply in replies):
                self.assertEqual(1, count, key)
            elif replies and all(_is_not_run(reply) for reply in replies):
                self.assertEqual(0, count, key)

    async def _check_job(self, scenario):
        path = f'/v1/jobs/{scenario}/results'
        sent = await self._caller(2).send('GET', path, b'', scenario)
        rows = [json.loads(line) for line in sent.unwrap().body.splitlines()]
        self.assertEqual(
            [str(n) for n in range(ITEMS)], [r['id'] for r in rows]
        )
        for number, item in enumerate(rows):
            expected = engine.full_text(f'{scenario} {number}', TOKENS)
            self.assertEqual(
                ('done', expected), (item['status'], item['text'])
            )


def _is_not_run(reply):
    verdict = client.read_verdict(reply)
    return verdict is not None and verdict.value == 'not_run'
