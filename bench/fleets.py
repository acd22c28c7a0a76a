"""Fleets for the benches: daemons as processes, engines in this process."""

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
    """A daemon with one of the variants of :mod:`bench.variants`."""

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
    """Daemons of one variant, without engines."""

    def __init__(
        self, variant: str, hosts: int, harm_percent: float, *arguments: str
    ) -> None:
        self._variant = variant
        super().__init__(('ruai',) * hosts, *arguments)
        self.configure(harm_percent)

    def start_host(self, host: str, zone: str) -> VariantHost:
        """Start a daemon of the variant."""
        url = f'http://{self.platform.address}'
        host_process = VariantHost(
            self._variant, host, zone, '--store-url', url, *self._arguments
        )
        return self._add(host_process)

    def configure(self, harm_percent: float) -> None:
        """Configure the service and the account; wait until hosts are ready.

        :raises RuntimeError: if the configuration is refused
        """
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
        """Submit a job.

        :param name: id of the job
        :param count: number of items
        :param tokens: tokens of each item's result
        :param host: index of the host that receives it
        """
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

    def count_puts(self) -> int:
        """Return the number of writes that have reached the platform."""
        url = f'http://{self.platform.address}/control/calls'
        return processes.CLIENT.get(url).json().get('put', 0)


class Engine(engine.Engine):
    """An engine in this process that records cancellations and batch tokens.

    :ivar cancelled_at: monotonic times at which a running stream was cancelled
    :ivar batch_tokens: tokens produced for prompts that begin with ``digest``
    """

    def __init__(self, name: str, speed: engine.Speed) -> None:
        super().__init__(name, [MODEL], speed)
        self.cancelled_at: list[float] = []
        self.batch_tokens = 0

    def end_stream(self, sequence: typing.Any) -> None:
        """Record the time if the stream was cancelled."""
        before = self.cancelled
        super().end_stream(sequence)
        if self.cancelled > before:
            self.cancelled_at.append(time.monotonic())

    def _step(self, sequence: typing.Any) -> None:
        super()._step(sequence)
        self.batch_tokens += sequence.body.prompt.startswith('digest')


@contextlib.asynccontextmanager
async def run_engines(fleet: Fleet, count: int, speed: engine.Speed):
    """Run engines in this process and add them to the list of targets."""
    async with anyio.create_task_group() as tasks:
        engines = []
        stopped = anyio.Event()
        for index in range(count):
            model_engine = Engine(f'engine-{index}', speed)
            listener = servers.listen('127.0.0.1:0')
            address = servers.address_of(listener)
            await tasks.start(model_engine.run)
            tasks.start_soon(
                servers.serve_http, model_engine.app, listener, stopped
            )
            await anyio.to_thread.run_sync(
                fleet.list_target,
                *(model_engine.name, address, 'engine', 'ruai', MODEL),
            )
            engines.append(model_engine)
        yield engines
        stopped.set()
        await anyio.sleep(2 * servers.SHUTDOWN_TIMEOUT_SECONDS)
        tasks.cancel_scope.cancel()


def quantile(values: list[float], share: float) -> float:
    """Return the value below which a share of the values lies."""
    if not values:
        return float('nan')
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
