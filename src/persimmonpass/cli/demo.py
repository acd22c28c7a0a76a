"""Demo: runs an example deployment in one process, with made-up data.

Stand-ins of the platform, engines and a service run with two daemons over
loopback TCP. During the run, an engine is killed and a caller's connection is
closed. The counts at the end are read back from the system.
"""

import collections
import collections.abc
import contextlib
import importlib.resources
import json
import typing

import anyio
import anyio.abc
import httpx
import msgspec
import yaml

from persimmonpass.cli import deployments
from persimmonpass import client
from persimmonpass import daemon
from persimmonpass import exceptions
from persimmonpass import objects
from persimmonpass import servers
from persimmonpass import settings
from persimmonpass.standins import engine
from persimmonpass.standins import platform
from persimmonpass.standins import service

ADMIN_TOKEN = 'demo-admin'  # noqa: S105
LOOPBACK = '127.0.0.1:0'
READY_TIMEOUT_SECONDS = 30.0
JOB_TIMEOUT_SECONDS = 60.0
POLL_INTERVAL_SECONDS = 0.05
CALLER_COUNT = 8
MAX_TOKENS = 24
HOST_COUNT = 2

PrintLine = collections.abc.Callable[[str], None]


class Counts(typing.NamedTuple):
    """Counts of requests, items or calls, read back at the end.

    :ivar accepted: number that the system accepted
    :ivar answered: number with a result that can be read
    :ivar doubled: number with two results, or that ran twice
    """

    accepted: int
    answered: int
    doubled: int

    @property
    def lost(self) -> int:
        """Number that was accepted but has no result."""
        return self.accepted - self.answered


class _Demo:
    """A running deployment and the load on it."""

    def __init__(
        self,
        plan: deployments.Deployment,
        tasks: anyio.abc.TaskGroup,
        http: httpx.AsyncClient,
        print_line: PrintLine,
    ) -> None:
        self.plan = plan
        self.print_line = print_line
        self.http = http
        self.tasks = tasks
        self.platform = platform.Platform()
        self.service = service.Service(plan.plain_service)
        self.engine_kills: list[anyio.Event] = []
        self.daemons: list[daemon.Daemon] = []
        self.caller_urls: list[str] = []
        self.operator_urls: list[str] = []
        self.requests_done = 0

    async def start(self) -> None:
        """Start the stand-ins and the daemons."""
        store = self._serve(self.platform.app, anyio.Event())
        plain_address = self._serve(self.service.app, anyio.Event())
        self._list_target(self.plan.plain_service, plain_address, 'service', 0)
        for index in range(self.plan.engine_count):
            self._start_engine(index)
        for index in range(HOST_COUNT):
            await self._start_daemon(index, f'http://{store}')
        availability_zones = ', '.join(self.plan.availability_zones)
        self.print_line(f'availability zones {availability_zones}')
        self.print_line(
            f'{self.plan.engine_count} engines serve {self.plan.model}, '
            f'{HOST_COUNT} entry hosts'
        )

    def _serve(
        self,
        app: typing.Any,
        stopped: anyio.Event,
        grace_seconds: float = servers.SHUTDOWN_TIMEOUT_SECONDS,
    ) -> str:
        listener = servers.listen(LOOPBACK)
        address = servers.address_of(listener)
        self.tasks.start_soon(
            servers.serve_http, app, listener, stopped, lambda: grace_seconds
        )
        return address

    def _list_target(
        self, name: str, address: str, kind: str, index: int
    ) -> None:
        self.platform.list_target(
            platform.ListedTarget(
                name,
                address,
                kind,
                self.plan.availability_zones[
                    index % len(self.plan.availability_zones)
                ],
                {'serves': self.plan.plain_service}
                if kind == 'service'
                else {'serves': self.plan.model},
                checks_fencing=True,
            )
        )

    def _start_engine(self, index: int) -> None:
        model = engine.model_key(self.plan.model, self.plan.version, '')
        new_engine = engine.Engine(f'engine-{index}', [model], seed=index)
        kill_event = anyio.Event()
        self.engine_kills.append(kill_event)
        self.tasks.start_soon(new_engine.run)
        address = self._serve(new_engine.app, kill_event, 0.0)
        self._list_target(new_engine.name, address, 'engine', index)

    async def _start_daemon(self, index: int, store_url: str) -> None:
        new_daemon = daemon.Daemon(
            settings.Settings(
                f'host-{index}',
                self.plan.availability_zones[
                    index % len(self.plan.availability_zones)
                ],
                store_url,
                admin_token_sha256=objects.token_digest(ADMIN_TOKEN),
                entry_ttl_seconds=0.5,
                drain_seconds=10.0,
            )
        )
        addresses = await self.tasks.start(new_daemon.run)
        self.daemons.append(new_daemon)
        self.caller_urls.append(addresses.caller)
        self.operator_urls.append(f'http://{addresses.operator}')

    async def configure(self) -> None:
        """Apply the example configuration and wait until all hosts serve it.

        :raises NotReadyError: if that takes more than
            ``READY_TIMEOUT_SECONDS``
        """
        source = importlib.resources.files('persimmonpass')
        path = source / 'examples' / self.plan.name / 'fleet.yaml'
        documents = list(yaml.safe_load_all(path.read_text()))
        headers = {'Authorization': f'Bearer {ADMIN_TOKEN}'}
        for document in documents:
            answer = await self.http.put(
                f'{self.operator_urls[0]}/v1/objects',
                json=document,
                headers=headers,
            )
            answer.raise_for_status()
        self.print_line(f'{len(documents)} configuration objects applied')
        with anyio.move_on_after(READY_TIMEOUT_SECONDS):
            for address in self.caller_urls:
                while not await self._is_serving(address):
                    await anyio.sleep(POLL_INTERVAL_SECONDS)
            return
        raise exceptions.NotReadyError(
            f'fleet not ready within {READY_TIMEOUT_SECONDS} s'
        )

    async def _is_serving(self, address: str) -> bool:
        caller = client.Caller(self.http, [address], self.plan.token)
        probe = f'probe-{address}'
        reply = await caller.complete(self.plan.model, 'ready?', 1, probe)
        known = len(caller.addresses) == HOST_COUNT
        return known and reply.is_ok() and reply.ok_value.status == 200

    def caller(self, index: int) -> client.Caller:
        """Make a caller in one of the availability zones."""
        zone = self.plan.availability_zones[
            index % len(self.plan.availability_zones)
        ]
        return client.Caller(
            self.http, self.caller_urls, self.plan.token, zone
        )

    async def submit_job(self) -> None:
        """Submit the batch job once through each host.

        A caller that did not receive the first answer does the same.
        """
        lines = [
            json.dumps(
                {
                    'id': f'item-{number}',
                    'prompt': f'{self.plan.item_word} number {number}',
                    'max_tokens': MAX_TOKENS,
                }
            )
            for number in range(self.plan.item_count)
        ]
        content = '\n'.join(lines).encode()
        path = f'/v1/jobs/evening?service={self.plan.model}&due_seconds=600'
        for index in range(HOST_COUNT):
            caller = self.caller(index)
            sent = await caller.send('PUT', path, content, 'evening')
            reply = sent.unwrap()
            items = msgspec.json.decode(reply.body)['items']
        self.print_line(
            f'batch job accepted, {items} {self.plan.item_word}; '
            'submitted again through the other host, still one job'
        )

    async def run_requests(self) -> None:
        """Send the online requests and calls, with faults in between."""
        send, receive = anyio.create_memory_object_stream[int](
            self.plan.request_count
        )
        for number in range(self.plan.request_count):
            send.send_nowait(number)
        send.close()
        async with anyio.create_task_group() as tasks:
            for index in range(CALLER_COUNT):
                tasks.start_soon(self._call_until_done, index, receive.clone())
            receive.close()
            tasks.start_soon(self._inject_faults)
            tasks.start_soon(self._send_calls)

    async def _call_until_done(self, index: int, numbers: typing.Any) -> None:
        caller = self.caller(index)
        async with numbers:
            async for number in numbers:
                prompt = f'station {number % 7}: reading {number}'
                await caller.complete(
                    self.plan.model, prompt, MAX_TOKENS, _key(number)
                )
                self.requests_done += 1

    async def _send_calls(self) -> None:
        """Send each call through every host at once, under the same key."""
        path = f'/v1/services/{self.plan.plain_service}{self.plan.call_path}'
        async with anyio.create_task_group() as tasks:
            for number in range(self.plan.call_count):
                for index in range(HOST_COUNT):
                    tasks.start_soon(
                        self.caller(index).send,
                        'POST',
                        path,
                        f'call {number}'.encode(),
                        f'call-{number}',
                    )

    async def _inject_faults(self) -> None:
        while self.requests_done < self.plan.request_count // 3:
            await anyio.sleep(POLL_INTERVAL_SECONDS)
        self.engine_kills[-1].set()
        self.print_line('an engine was killed')
        await self._disconnect_during_stream()
        self.print_line(
            'a caller lost its connection midway and sent the request again'
        )

    async def _disconnect_during_stream(self) -> None:
        """Disconnect during a streamed answer, then send the request again."""
        body = {
            'model': self.plan.model,
            'prompt': 'station 1: connection is cut',
            'max_tokens': MAX_TOKENS,
            'stream': True,
        }
        headers = {
            'Authorization': f'Bearer {self.plan.token}',
            'Idempotency-Key': _key(self.plan.request_count),
        }
        with contextlib.suppress(httpx.HTTPError):
            async with self.http.stream(
                'POST',
                f'http://{self.caller_urls[0]}/v1/completions',
                json=body,
                headers=headers,
            ) as answer:
                async for _ in answer.aiter_bytes():
                    break
        body.pop('stream')
        reply = await self.caller(1).send(
            'POST',
            '/v1/completions',
            msgspec.json.encode(body),
            _key(self.plan.request_count),
        )
        reply.unwrap()

    async def wait_for_job(self) -> None:
        """Print the job's progress until it is finished.

        :raises NotReadyError: if that takes more than
            ``JOB_TIMEOUT_SECONDS``
        """
        quarters_shown = 0
        caller = self.caller(0)
        with anyio.move_on_after(JOB_TIMEOUT_SECONDS):
            while True:
                sent = await caller.send('GET', '/v1/jobs/evening', b'', 'x')
                body = msgspec.json.decode(sent.unwrap().body)
                quarters_done = body['done'] * 4 // body['items']
                while quarters_shown < quarters_done:
                    quarters_shown += 1
                    self.print_line(f'batch job: {quarters_shown * 25}% done')
                if body['state'] == 'finished':
                    return
                await anyio.sleep(POLL_INTERVAL_SECONDS)
        raise exceptions.NotReadyError(
            f'batch job not finished within {JOB_TIMEOUT_SECONDS} s'
        )

    async def count_requests(self) -> Counts:
        """Read back each online request through all hosts."""
        numbers = range(self.plan.request_count + 1)
        answered = 0
        doubled = 0
        for number in numbers:
            bodies = set()
            for address in self.caller_urls:
                caller = client.Caller(self.http, [address], self.plan.token)
                reply = await caller.read(_key(number))
                if reply.is_ok() and reply.ok_value.status == 200:
                    bodies.add(reply.ok_value.body)
            answered += bool(bodies)
            doubled += len(bodies) > 1
        return Counts(len(numbers), answered, doubled)

    async def count_items(self) -> Counts:
        """Read back the result of every item of the job."""
        sent = await self.caller(1).send(
            'GET', '/v1/jobs/evening/results', b'', 'x'
        )
        rows = [json.loads(line) for line in sent.unwrap().body.splitlines()]
        seen = collections.Counter(
            row['id'] for row in rows if row['status'] in ('done', 'failed')
        )
        doubled = sum(1 for count in seen.values() if count > 1)
        return Counts(self.plan.item_count, len(seen), doubled)

    async def count_calls(self) -> Counts:
        """Read back each call, and how often it ran at the service."""
        answered = 0
        for number in range(self.plan.call_count):
            reply = await self.caller(number).read(f'call-{number}')
            if reply.is_ok() and reply.ok_value.status == 200:
                answered += 1
        doubled = sum(1 for runs in self.service.runs.values() if runs > 1)
        return Counts(self.plan.call_count, answered, doubled)


async def run_deployment(name: str, print_line: PrintLine) -> bool:
    """Run a deployment and print a report.

    :param name: key of :data:`deployments.DEPLOYMENTS`
    :param print_line: prints one line of the report
    :returns: whether nothing was lost or doubled
    :raises NotReadyError: if the fleet or the job is not ready in time
    """
    plan = deployments.DEPLOYMENTS[name]
    started = anyio.current_time()
    async with (
        httpx.AsyncClient(
            trust_env=False, timeout=READY_TIMEOUT_SECONDS
        ) as http,
        anyio.create_task_group() as tasks,
    ):
        demo = _Demo(plan, tasks, http, print_line)
        await demo.start()
        await demo.configure()
        await demo.submit_job()
        await demo.run_requests()
        print_line(
            f'{plan.request_count + 1} {plan.request_word} were asked for'
        )
        await demo.wait_for_job()
        print_line('read back from the system:')
        is_clean = True
        for word, counts in (
            (plan.request_word, await demo.count_requests()),
            (plan.item_word, await demo.count_items()),
            (plan.call_word, await demo.count_calls()),
        ):
            print_line(
                f'  {word}: accepted {counts.accepted}, answered '
                f'{counts.answered}, doubled {counts.doubled}, lost '
                f'{counts.lost}'
            )
            is_clean = is_clean and not counts.doubled and not counts.lost
        print_line(f'took {anyio.current_time() - started:.1f} s')
        tasks.cancel_scope.cancel()
    return is_clean


def _key(number: int) -> str:
    return f'reading-{number}'
