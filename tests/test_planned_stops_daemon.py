"""Planned stops of ``persimmonpassd`` under callers that stay."""

import collections
import json
import os
import pathlib
import signal
import unittest

import anyio
import parameterized

from persimmonpass.standins import engine
from tests import platform_fakes
from tests import processes
from tests import stop_load

# Other seeds are played by hand, as in STOP_SEEDS=10:60.
SEEDS = range(
    *map(int, os.environ.get('STOP_SEEDS', '1:2').split(':', maxsplit=1))
)
LIMIT_SECONDS = 6.0
# Of a call to a service.
CALL_SECONDS = 0.15
WARM_UP_SECONDS = 1.0
SLOW_CHUNKS = (0.02, 0.15)
IDLE = (0.2, 2.0)
SHORT_TOKENS = 40
LONG_TOKENS = 250
STREAMS = '/v1/completions'
CALLS = '/v1/services/crews/dispatch'
PROPER_STATUSES = frozenset((200, 429, 503))
REQUIRED = 30
ACCOUNT = {
    'Authorization': 'Bearer athi-desk-token',
    'Content_Type': 'application/json',
    'Idempotency_Key': '{id}',
}


def completion(tokens):
    """Return a function that makes the body of a streamed completion."""

    def make_body(attempt):
        body = {
            'model': 'pumpread',
            'prompt': attempt.id,
            'max_tokens': tokens,
            'stream': True,
        }
        return json.dumps(body).encode()

    return make_body


def callers_of(load, address):
    """Return the callers of one host by name."""

    def calls(**terms):
        return stop_load.caller(load, address, CALLS, **terms, **ACCOUNT)

    def streams(tokens, **terms):
        make = completion(tokens)
        return stop_load.caller(
            load, address, STREAMS, make_body=make, **terms, **ACCOUNT
        )

    made = {
        'kept': [calls(), calls(), calls(pauses=IDLE), calls(pauses=IDLE)],
        'new': [calls(keeps=False), streams(SHORT_TOKENS, keeps=False)],
        'chunks': [
            calls(chunk_pauses=SLOW_CHUNKS),
            streams(SHORT_TOKENS, chunk_pauses=SLOW_CHUNKS),
        ],
        'short': [streams(SHORT_TOKENS), streams(SHORT_TOKENS, pauses=IDLE)],
        'long': [streams(LONG_TOKENS), streams(LONG_TOKENS, keeps=False)],
    }
    return {
        f'{kind}{number}': call
        for kind, calls_made in made.items()
        for number, call in enumerate(calls_made)
    }


def text_of(attempt):
    """Return the text of a stream, ``None`` if it has no end."""
    lines = [line for line in attempt.body.decode().split('\n\n') if line]
    if not lines or lines[-1] != 'data: [DONE]':
        return None
    return ''.join(
        json.loads(line.removeprefix('data: '))['choices'][0]['text']
        for line in lines[:-1]
    )


def is_own(attempt):
    """Return whether a whole answer is the one to its request."""
    if attempt.path == CALLS:
        return attempt.body and json.loads(attempt.body)['call'].endswith(
            attempt.id
        )
    tokens = LONG_TOKENS if '-long' in attempt.id else SHORT_TOKENS
    return text_of(attempt) == engine.full_text(attempt.id, tokens)


class TestDaemon(unittest.TestCase):
    def setUp(self):
        self.fleet = processes.Fleet(
            ('ruai', 'kasarani', 'embakasi'),
            '--drain-limit',
            f'{LIMIT_SECONDS:.0f}s',
        )
        self.addCleanup(self.fleet.close)
        self.crews = self.fleet.start_service('crews', 'ruai')
        self.fleet.start_engine('engine-0', 'ruai', 'pumpread@3')
        applied = self.fleet.run_tool(
            'apply', '-f', str(processes.ROOT / 'examples' / 'athi')
        )
        self.assertEqual(0, applied.returncode, applied.stderr)
        self.fleet.wait_ready()
        self.crews.set_faults(delay_seconds=CALL_SECONDS)

    @parameterized.parameterized.expand([(seed,) for seed in SEEDS])
    def test_stop_cuts_no_request(self, seed):
        host = self.fleet.hosts[0]
        load = stop_load.Load('a', seed)
        times = {}

        async def test():
            times['log'] = stop_load.Log()
            address = host.caller.removeprefix('http://')
            async with anyio.create_task_group() as tasks:
                for name, call in callers_of(load, address).items():
                    tasks.start_soon(call, name)
                await anyio.sleep(WARM_UP_SECONDS + load.rng.random())
                times['stop'] = anyio.current_time()
                host.send(signal.SIGTERM)
                with anyio.fail_after(30):
                    while host.process.poll() is None:
                        await anyio.sleep(0.02)
                await anyio.sleep(0.2)
                tasks.cancel_scope.cancel()

        platform_fakes.run(test)
        times['log'].read(pathlib.Path(host.output.name))
        self._check(load, times['stop'], times['log'])
        self.assertEqual(0, host.process.returncode)

    def _check(self, load, stopped_at, log):
        answer = processes.CLIENT.get(
            f'http://{self.crews.address}/control/runs'
        )
        counts = answer.json()
        ran = collections.Counter()
        for attempt in load.attempts:
            ran[attempt.id] = (
                counts.get(f'POST /dispatch {attempt.id}', 0)
                if attempt.path == CALLS
                else int(attempt.has_bytes and attempt.status == 200)
            )
        ran += collections.Counter()
        found = []
        for attempt in load.attempts:
            line = stop_load.describe(attempt, stopped_at, ran, log)
            if stop_load.is_lost(attempt, stopped_at, ran, (), LIMIT_SECONDS):
                found.append(f'lost: {line}')
            if not attempt.is_whole:
                continue
            if ran[attempt.id] > 1:
                found.append(f'ran twice: {line}')
            if attempt.status not in PROPER_STATUSES:
                found.append(f'failed: {line}')
            elif attempt.status != 200 and ran[attempt.id]:
                found.append(f'refused and ran: {line}')
            elif attempt.status == 200 and not is_own(attempt):
                found.append(f'not its answer: {line}')
        stops = [
            (round(at - stopped_at, 2), *rest)
            for at, *rest in log.lines['']
            if rest[0] in (103, 104, 105)
        ]
        if found:
            self.fail('\n'.join([f'{len(load.attempts)}, {stops}', *found]))
        whole = [each for each in load.attempts if each.is_whole]
        self.assertGreater(len(whole), REQUIRED)


if __name__ == '__main__':
    unittest.main()
