"""Plays a deployment in one process, on made-up data, with faults.

Stand-ins and two daemons talk over loopback TCP. An engine is killed and a
caller's connection is cut midway; the counts at the end are read back from
the system.
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
READY_SECONDS = 30.0
JOB_SECONDS = 60.0
POLL_SECONDS = 0.05
CALLERS = 8
ITEM_TOKENS = 24
HOSTS = 2

Say = collections.abc.Callable[[str], None]


class Counts(typing.NamedTuple):
    """What was read back at the end.

    :ivar accepted: requests, items and calls that the system took
    :ivar answered: those with a readable result
    :ivar doubled: those that have two results or ran twice
    """

    accepted: int
    answered: int
    doubled: int

    @property
    def lost(self) -> int:
        """Accepted ones without a result."""
        return self.accepted - self.answered


class _Demo:
    """The running parts of a demo."""

    def __init__(
        self,
        plan: deployments.Deployment,
        tasks: anyio.abc.TaskGroup,
        http: httpx.AsyncClient,
        say: Say,
    ) -> None:
        self.plan = plan
        self.say = say
        self.http = http
        self.tasks = tasks
        self.platform = platform.Platform()
        self.service = service.Service(plan.plain)
        self.engine_kills: list[anyio.Event] = []
        self.daemons: list[daemon.Daemon] = []
        self.caller_urls: list[str] = []
        self.operator_urls: list[str] = []
        self.done = 0

    async def start(self) -> None:
        """Start stand-ins and daemons."""
        store = self._serve(self.platform.app, anyio.Event())
        plain = self._serve(self.service.app, anyio.Event())
        self._list(self.plan.plain, plain, 'service', 0)
        for index in range(self.plan.engines):
            self._start_engine(index)
        for index in range(HOSTS):
            await self._start_daemon(index, f'http://{store}')
        zones = ', '.join(self.plan.zones)
        self.say(f'availability zones {zones}')
        self.say(
            f'{self.plan.engines} engines serve {self.plan.model}, '
            f'{HOSTS} entry hosts'
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
            servers.serve_http, app, listener, stopped, grace_seconds
        )
        return address

    def _list(self, name: str, address: str, kind: str, index: int) -> None:
        self.platform.list_target(
            platform.ListedTarget(
                name,
                address,
                kind,
                self.plan.zones[index % len(self.plan.zones)],
                {'serves': self.plan.plain}
                if kind == 'service'
                else {'serves': self.plan.model},
                checks_fencing=True,
            )
        )

    def _start_engine(self, index: int) -> None:
        model = engine.model_key(self.plan.model, self.plan.version, '')
        made = engine.Engine(f'engine-{index}', [model], seed=index)
        killed = anyio.Event()
        self.engine_kills.append(killed)
        self.tasks.start_soon(made.run)
        address = self._serve(made.app, killed, 0.0)
        self._list(made.name, address, 'engine', index)

    async def _start_daemon(self, index: int, store_url: str) -> None:
        made = daemon.Daemon(
            settings.Settings(
                f'host-{index}',
                self.plan.zones[index % len(self.plan.zones)],
                store_url,
                admin_token_sha256=objects.token_digest(ADMIN_TOKEN),
                entry_ttl_seconds=0.5,
                drain_seconds=10.0,
            )
        )
        addresses = await self.tasks.start(made.run)
        self.daemons.append(made)
        self.caller_urls.append(addresses.caller)
        self.operator_urls.append(f'http://{addresses.operator}')

    async def configure(self) -> None:
        """Apply the example configuration and wait until it serves."""
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
        self.say(f'{len(documents)} configuration objects applied')
        with anyio.move_on_after(READY_SECONDS):
            for address in self.caller_urls:
                while not await self._serves(address):
                    await anyio.sleep(POLL_SECONDS)
            return
        raise exceptions.NotReadyError('the fleet did not become ready')

    async def _serves(self, address: str) -> bool:
        caller = client.Caller(self.http, [address], self.plan.token)
        probe = f'probe-{address}'
        reply = await caller.complete(self.plan.model, 'ready?', 1, probe)
        known = len(caller.addresses) == HOSTS
        return known and reply.is_ok() and reply.ok_value.status == 200

    def caller(self, index: int) -> client.Caller:
        """Make a caller in one of the availability zones."""
        zone = self.plan.zones[index % len(self.plan.zones)]
        return client.Caller(
            self.http, self.caller_urls, self.plan.token, zone
        )

    async def submit_job(self) -> None:
        """Submit the batch job, twice, as a caller that lost the answer."""
        lines = [
            json.dumps(
                {
                    'id': f'item-{number}',
                    'prompt': f'{self.plan.item_word} number {number}',
                    'max_tokens': ITEM_TOKENS,
                }
            )
            for number in range(self.plan.items)
        ]
        content = '\n'.join(lines).encode()
        path = f'/v1/jobs/evening?service={self.plan.model}&due_seconds=600'
        for index in range(HOSTS):
            caller = self.caller(index)
            sent = await caller.send('PUT', path, content, 'evening')
            reply = sent.unwrap()
            items = msgspec.json.decode(reply.body)['items']
        self.say(
            f'batch job accepted, {items} {self.plan.item_word}; '
            'submitted again through the other host, still one job'
        )

    async def run_requests(self) -> None:
        """Run online requests and calls, with faults midway."""
        send, receive = anyio.create_memory_object_stream[int](
            self.plan.requests
        )
        for number in range(self.plan.requests):
            send.send_nowait(number)
        send.close()
        async with anyio.create_task_group() as tasks:
            for index in range(CALLERS):
                tasks.start_soon(self._call_until_done, index, receive.clone())
            receive.close()
            tasks.start_soon(self._break_things)
            tasks.start_soon(self._run_calls)

    async def _call_until_done(self, index: int, numbers: typing.Any) -> None:
        caller = self.caller(index)
        async with numbers:
            async for number in numbers:
                prompt = f'station {number % 7}: reading {number}'
                await caller.complete(
                    self.plan.model, prompt, ITEM_TOKENS, _key(number)
                )
                self.done += 1

    async def _run_calls(self) -> None:
        """Send each call through every host, as an impatient caller."""
        path = f'/v1/services/{self.plan.plain}{self.plan.call}'
        async with anyio.create_task_group() as tasks:
            for number in range(self.plan.calls):
                for index in range(HOSTS):
                    tasks.start_soon(
                        self.caller(index).send,
                        'POST',
                        path,
                        f'call {number}'.encode(),
                        f'call-{number}',
                    )

    async def _break_things(self) -> None:
        while self.done < self.plan.requests // 3:
            await anyio.sleep(POLL_SECONDS)
        self.engine_kills[-1].set()
        self.say('an engine was killed')
        await self._cut_connection()
        self.say(
            'a caller lost its connection midway and sent the request again'
        )

    async def _cut_connection(self) -> None:
        """Hang up during a streamed answer, then ask again."""
        body = {
            'model': self.plan.model,
            'prompt': 'station 1: connection is cut',
            'max_tokens': ITEM_TOKENS,
            'stream': True,
        }
        headers = {
            'Authorization': f'Bearer {self.plan.token}',
            'Idempotency-Key': _key(self.plan.requests),
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
            _key(self.plan.requests),
        )
        reply.unwrap()

    async def wait_for_job(self) -> None:
        """Show the job's progress until it is finished."""
        shown = 0
        caller = self.caller(0)
        with anyio.move_on_after(JOB_SECONDS):
            while True:
                sent = await caller.send('GET', '/v1/jobs/evening', b'', 'x')
                body = msgspec.json.decode(sent.unwrap().body)
                quarter = body['done'] * 4 // body['items']
                while shown < quarter:
                    shown += 1
                    self.say(f'batch job: {shown * 25}% done')
                if body['state'] == 'finished':
                    return
                await anyio.sleep(POLL_SECONDS)
        raise exceptions.NotReadyError('the batch job did not finish in time')

    async def count_requests(self) -> Counts:
        """Read back each online request, through both hosts."""
        numbers = range(self.plan.requests + 1)
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
        return Counts(self.plan.items, len(seen), doubled)

    async def count_calls(self) -> Counts:
        """Read back each call, and from the service how often it ran."""
        answered = 0
        for number in range(self.plan.calls):
            reply = await self.caller(number).read(f'call-{number}')
            if reply.is_ok() and reply.ok_value.status == 200:
                answered += 1
        doubled = sum(1 for runs in self.service.runs.values() if runs > 1)
        return Counts(self.plan.calls, answered, doubled)


async def play(name: str, say: Say) -> bool:
    """Play a deployment.

    :param name: key of :data:`deployments.DEPLOYMENTS`
    :param say: takes each line of the report
    :returns: whether nothing was lost or doubled
    """
    plan = deployments.DEPLOYMENTS[name]
    started = anyio.current_time()
    async with (
        httpx.AsyncClient(trust_env=False, timeout=READY_SECONDS) as http,
        anyio.create_task_group() as tasks,
    ):
        demo = _Demo(plan, tasks, http, say)
        await demo.start()
        await demo.configure()
        await demo.submit_job()
        await demo.run_requests()
        say(f'{plan.requests + 1} {plan.request_word} were asked for')
        await demo.wait_for_job()
        say('read back from the system:')
        clean = True
        for word, counts in (
            (plan.request_word, await demo.count_requests()),
            (plan.item_word, await demo.count_items()),
            (plan.call_word, await demo.count_calls()),
        ):
            say(
                f'  {word}: accepted {counts.accepted}, answered '
                f'{counts.answered}, doubled {counts.doubled}, lost '
                f'{counts.lost}'
            )
            clean = clean and not counts.doubled and not counts.lost
        say(f'took {anyio.current_time() - started:.1f} s')
        tasks.cancel_scope.cancel()
    return clean


def _key(number: int) -> str:
    return f'reading-{number}'
