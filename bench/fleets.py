"""Fleets for the benches: daemons as processes, the engine in this one."""

import contextlib
import json
import time
import typing

import anyio

from persimmonpass import servers
from persimmonpass.standins import engine
from tests import processes

MODEL = 'pumpread@3'
TOKEN = 'bench-token'  # noqa: S105
ACCOUNT = {'Authorization': f'Bearer {TOKEN}'}


class VariantHost(processes.Host):
    """A daemon with one of the decisions of :mod:`bench.variants`."""

    def __init__(
        self, variant: str, host: str, zone: str, *arguments: str
    ) -> None:
        processes.Program.__init__(
            self,
            'python',
            *('-m', 'bench.variants', variant),
            *('--host', host),
            *('--availability-zone', zone),
            *(
                '--admin-token-sha256',
                processes.objects.token_digest(processes.ADMIN_TOKEN),
            ),
            *('--entry-ttl', '500ms'),
            *arguments,
        )
        self.host = host
        started = processes.wait_until(
            lambda: self.find_event('daemon_started')
        )
        self.caller = f'http://{started["caller"]}'
        self.operator = f'http://{started["operator"]}'


class Fleet(processes.Fleet):
    """Daemons of a variant, without engines."""

    def __init__(
        self, variant: str, hosts: int, harm_percent: float, *arguments: str
    ) -> None:
        self._variant = variant
        super().__init__(('ruai',) * hosts, *arguments)
        self.wait_ready_after(harm_percent)

    def start_host(self, host: str, zone: str) -> VariantHost:
        """Start a daemon."""
        url = f'http://{self.platform.address}'
        made = VariantHost(
            self._variant, host, zone, '--store-url', url, *self._arguments
        )
        return self._add(made)

    def wait_ready_after(self, harm_percent: float) -> None:
        """Configure the fleet and wait until all hosts are ready."""
        spec = {
            'type': 'engine',
            'model': 'pumpread',
            'version': '3',
            'selector': 'serves=pumpread',
            'harm_percent': harm_percent,
        }
        account = {
            'token_sha256': processes.objects.token_digest(TOKEN),
            'limits': {
                'rate_per_second': 5000,
                'burst': 5000,
                'concurrency': 5000,
            },
        }
        documents = [
            {'kind': 'service', 'name': 'pumpread', 'spec': spec},
            {'kind': 'account', 'name': 'bench', 'spec': account},
        ]
        text = '\n---\n'.join(json.dumps(row) for row in documents)
        path = processes.tempfile.NamedTemporaryFile('w', suffix='.yaml')
        with path as file:
            file.write(text)
            file.flush()
            applied = self.run_tool('apply', '-f', file.name)
        if applied.returncode:
            raise RuntimeError(applied.stderr)
        self.wait_ready()

    def submit(
        self, name: str, count: int, tokens: int, host: int = 0
    ) -> None:
        """Submit a job of equal items."""
        lines = (
            json.dumps(
                {'id': str(n), 'prompt': f'digest {n}', 'max_tokens': tokens}
            )
            for n in range(count)
        )
        processes.CLIENT.put(
            f'{self.hosts[host].caller}/v1/jobs/{name}',
            params={'service': 'pumpread', 'due_seconds': 600},
            content='\n'.join(lines),
            headers=ACCOUNT,
            timeout=60,
        ).raise_for_status()

    def status(self, name: str) -> dict[str, typing.Any]:
        """Return the status of a job."""
        url = f'{self.hosts[0].caller}/v1/jobs/{name}'
        return processes.CLIENT.get(url, headers=ACCOUNT).json()

    def puts(self) -> int:
        """Return the writes that the platform has counted."""
        url = f'http://{self.platform.address}/control/calls'
        return processes.CLIENT.get(url).json().get('put', 0)


class Engine(engine.Engine):
    """An engine in this process that notes what it did and when.

    :ivar drops: times at which a stream was closed early
    :ivar batch_tokens: tokens of prompts that begin with ``digest``
    """

    def __init__(self, name: str, speed: engine.Speed) -> None:
        super().__init__(name, [MODEL], speed)
        self.drops: list[float] = []
        self.batch_tokens = 0

    def drop(self, sequence: typing.Any) -> None:
        """Note the time of a stream that was closed early."""
        before = self.cancelled
        super().drop(sequence)
        if self.cancelled > before:
            self.drops.append(time.monotonic())

    def _step(self, sequence: typing.Any) -> None:
        super()._step(sequence)
        self.batch_tokens += sequence.body.prompt.startswith('digest')


@contextlib.asynccontextmanager
async def run_engines(fleet: Fleet, count: int, speed: engine.Speed):
    """Run engines in this process and list them."""
    async with anyio.create_task_group() as tasks:
        engines = []
        stopped = anyio.Event()
        for index in range(count):
            made = Engine(f'engine-{index}', speed)
            listener = servers.listen('127.0.0.1:0')
            address = servers.address_of(listener)
            await tasks.start(made.run)
            tasks.start_soon(servers.serve_http, made.app, listener, stopped)
            await anyio.to_thread.run_sync(
                fleet.list_target,
                *(made.name, address, 'engine', 'ruai', MODEL),
            )
            engines.append(made)
        yield engines
        stopped.set()
        await anyio.sleep(2 * servers.STOP_SECONDS)
        tasks.cancel_scope.cancel()


def quantile(values: list[float], share: float) -> float:
    """Return the value below which a share of the values lies."""
    if not values:
        return float('nan')
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
