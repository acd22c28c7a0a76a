"""Tests of gateways with a fake platform, over loopback TCP."""

import json
import pathlib
import tempfile
import unittest

import anyio
import parameterized

from persimmonpass.policy import core
from persimmonpass.policy import queueing
from persimmonpass import servers
from tests import platform_fakes

expand = parameterized.parameterized.expand
COMPLETE_STREAM = ''.join(
    f'id: {number}\ndata: x-{number}\n\n'
    for number in range(1, platform_fakes.TOKENS + 1)
)
# After this time without a fault no item may still wait for a free slot.
CALM_SECONDS = 5.0
OUTPUT = '\n'.join(f'x-{n}' for n in range(1, platform_fakes.TOKENS + 1))


async def _resolve(fleet, entry):
    """Return the addresses in the entry answer of a host."""
    answer = await fleet.client.get(
        f'http://{entry}/persimmonpass/'
        f'resolve?name={platform_fakes.HOST}&zone=a'
    )
    return set(answer.json()['addresses'])


class TestRequests(unittest.TestCase):
    def test_stream(self):
        async def test():
            async with platform_fakes.fleet(count=1) as fleet:
                answer = await fleet.post(
                    '/notes/a?b=%41', **{'Request-Id': 'r1', 'X-Kept': 'y'}
                )
                self.assertEqual(200, answer.status_code)
                self.assertEqual(COMPLETE_STREAM, answer.text)
                self.assertEqual('s', answer.headers['response-signature'])
                sent = fleet.servers[0].headers
                self.assertEqual('y', sent['x-kept'])
                self.assertEqual('i-0', sent['expect-instance'])
                self.assertLessEqual(int(sent['deadline-ms']), 3000)

        platform_fakes.run(test)

    def test_span_for_each_hop(self):
        async def test():
            with tempfile.TemporaryDirectory() as folder:
                path = pathlib.Path(folder) / 'spans'
                async with platform_fakes.fleet(
                    count=1, trace=f'file:{path}'
                ) as fleet:
                    await fleet.post('/notes/a', **{'Request-Id': 'r1'})
                spans = [
                    json.loads(line) for line in path.read_text().splitlines()
                ]
                names = {span['name'] for span in spans}
                self.assertLessEqual({'request', 'target.send'}, names)
                traces = {
                    span['context']['trace_id']
                    for span in spans
                    if span['name'] in ('request', 'target.send')
                }
                self.assertEqual(1, len(traces))

        platform_fakes.run(test)

    @expand(
        [
            ('no route', '/other/a', {}, 404),
            ('bad deadline', '/notes/a', {'Deadline-Ms': 'soon'}, 400),
        ]
    )
    def test_refused(self, _, path, headers, status):
        async def test():
            async with platform_fakes.fleet(count=1) as fleet:
                answer = await fleet.post(
                    path, **{'Request-Id': 'r1', **headers}
                )
                self.assertEqual(status, answer.status_code)
                self.assertEqual([], fleet.servers[0].runs)

        platform_fakes.run(test)

    def test_metrics_of_a_stream_and_a_refusal(self):
        async def test():
            async with platform_fakes.fleet(count=1) as fleet:
                await fleet.post('/notes/a', **{'Request-Id': 'r1'})
                fleet.servers[0].refuses_all = True
                await fleet.post(
                    '/once/a', **{'Request-Id': 'r2', 'Deadline-Ms': '900'}
                )
                text = fleet.hosts['one'].metrics.render().decode()
                events_after_first = platform_fakes.TOKENS - 1
                for line in (
                    'route_between_events_seconds_count{kind="stream"} '
                    f'{events_after_first:.1f}',
                    'route_refusals_total{cause=',
                    'record_store_calls_total{call="list",kind="servers",'
                    'outcome="ok"}',
                ):
                    self.assertIn(f'\npersimmonpass_{line}', text)

        platform_fakes.run(test)

    def test_full_targets_refuse_with_retry_after(self):
        async def test():
            async with platform_fakes.fleet(count=1) as fleet:
                fleet.servers[0].refuses_all = True
                answer = await fleet.post(
                    '/once/a', **{'Request-Id': 'r1', 'Deadline-Ms': '900'}
                )
                self.assertEqual(503, answer.status_code)
                self.assertGreater(float(answer.headers['retry-after']), 0)
                self.assertEqual([], fleet.servers[0].runs)

        platform_fakes.run(test)

    def test_refused_before_the_caller_leaves(self):
        """A queued request is refused before its caller gives up.

        A caller waits two seconds for the first event, whatever deadline it
        sent.
        """

        async def test():
            async with platform_fakes.fleet(count=1) as fleet:
                server = fleet.servers[0]
                server.pace_seconds = 5.0
                async with anyio.create_task_group() as tasks:
                    for number in range(server.slots):
                        tasks.start_soon(
                            lambda number=number: fleet.post(
                                '/once/a', **{'Request-Id': f'r{number}'}
                            )
                        )
                    with anyio.fail_after(2):
                        while server.busy < server.slots:
                            await anyio.sleep(0.01)
                    started_at = anyio.current_time()
                    answer = await fleet.post(
                        '/once/a',
                        **{'Request-Id': 'last', 'Deadline-Ms': '2900'},
                    )
                    waited = anyio.current_time() - started_at
                    tasks.cancel_scope.cancel()
                self.assertEqual(503, answer.status_code)
                self.assertLess(
                    waited, queueing.MIN_FIRST_EVENT_TIMEOUT_SECONDS
                )
                self.assertNotIn('last', [run for run, _ in server.runs])

        platform_fakes.run(test)

    def test_no_target_is_refused_at_once(self):
        async def test():
            async with platform_fakes.fleet(count=0) as fleet:
                started_at = anyio.current_time()
                answer = await fleet.post('/notes/a', **{'Request-Id': 'r'})
                self.assertEqual(503, answer.status_code)
                self.assertLess(anyio.current_time() - started_at, 0.5)

        platform_fakes.run(test)

    def test_broken_stream_resumes_at_another_target(self):
        async def test():
            async with platform_fakes.fleet(count=2) as fleet:
                for server in fleet.servers:
                    server.cut_after = 2
                answer = None
                # The second run resumes after the last event of the first.
                task = fleet.post('/notes/a', **{'Request-Id': 'r1'})

                async def repair():
                    while not any(server.runs for server in fleet.servers):
                        await anyio.sleep(0.0005)
                    for server in fleet.servers:
                        if not server.runs:
                            server.cut_after = None

                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(repair)
                    answer = await task
                self.assertEqual(COMPLETE_STREAM, answer.text)
                runs = [run for server in fleet.servers for run in server.runs]
                self.assertEqual({('r1', 1), ('r1', 3)}, set(runs))

        platform_fakes.run(test)

    @expand([('broken', {'cut_after': 0}), ('foreign', {'foreign': True})])
    def test_non_idempotent_request_is_never_sent_again(self, _, fault):
        async def test():
            async with platform_fakes.fleet(count=2) as fleet:
                for server in fleet.servers:
                    for name, value in fault.items():
                        setattr(server, name, value)
                answer = await fleet.post('/once/a', **{'Request-Id': 'r1'})
                self.assertIn(answer.status_code, (502, 504))
                runs = [run for server in fleet.servers for run in server.runs]
                self.assertEqual(1, len(runs))

        platform_fakes.run(test)

    def test_request_that_breaks_targets_is_stopped_on_every_host(self):
        async def test():
            async with platform_fakes.fleet(('one', 'two'), 5) as fleet:
                for server in fleet.servers:
                    server.cut_after = 0
                    # A target that goes on answering has not crashed.
                    server.crashes_when_cut = True
                statuses = []
                # The same target may be chosen twice; three different broken
                # targets are enough for the request to be refused.
                while statuses[-2:] != [503, 503] and len(statuses) < 40:
                    answer = await fleet.post(
                        '/once/a',
                        'crash',
                        ('one', 'two')[len(statuses) % 2],
                        **{'Request-Id': f'r{len(statuses)}'},
                    )
                    statuses.append(answer.status_code)
                    await anyio.sleep(0.1)
                self.assertEqual([503, 503], statuses[-2:])
                broken = [server for server in fleet.servers if server.runs]
                self.assertEqual(3, len(broken))
                for server in fleet.servers:
                    server.cut_after = None
                other = await fleet.post(
                    '/once/a', 'other', **{'Request-Id': 'o'}
                )
                self.assertEqual(200, other.status_code)

        platform_fakes.run(test)

    def test_disconnect_of_the_caller_stops_the_run(self):
        async def test():
            async with platform_fakes.fleet(count=1) as fleet:
                server = fleet.servers[0]
                server.pace_seconds = 2.0
                with anyio.move_on_after(0.4):
                    await fleet.post('/notes/a', **{'Request-Id': 'r1'})
                with anyio.fail_after(0.5):
                    while server.busy:
                        await anyio.sleep(0.01)
                self.assertEqual([], server.finished_ids)

        platform_fakes.run(test)


class TestConfiguration(unittest.TestCase):
    def test_newer_configuration_is_applied_and_older_is_not(self):
        async def test():
            async with platform_fakes.fleet(count=1) as fleet:
                memory = fleet.store.memory
                newer = platform_fakes.configuration(
                    5, [platform_fakes.route('/new/')]
                )
                memory.put('config', 'main', newer)
                with anyio.fail_after(1):
                    while True:
                        answer = await fleet.post(
                            '/new/a', **{'Request-Id': 'r'}
                        )
                        if answer.status_code == 200:
                            break
                memory.put('config', 'main', platform_fakes.configuration(4))
                await anyio.sleep(0.2)
                answer = await fleet.post('/notes/a', **{'Request-Id': 'r'})
                self.assertEqual(404, answer.status_code)

        platform_fakes.run(test)

    @expand(
        [
            ('draining', lambda memory, server: memory.put(
                'servers', server.name, server.entry('draining')
            )),
            ('gone', lambda memory, server: memory.remove(
                'servers', server.name
            )),
            ('with history dropped', lambda memory, server: (
                memory.remove('servers', server.name),
                memory.forget_history(),
            )),
        ]
    )  # fmt: skip
    def test_leaving_target_gets_no_requests(self, _, leave):
        async def test():
            async with platform_fakes.fleet(count=2) as fleet:
                leave(fleet.store.memory, fleet.servers[0])
                await anyio.sleep(0.4)
                for number in range(6):
                    answer = await fleet.post(
                        '/notes/a', **{'Request-Id': f'r{number}'}
                    )
                    self.assertEqual(200, answer.status_code)
                self.assertEqual([], fleet.servers[0].runs)

        platform_fakes.run(test)


class TestCrashes(unittest.TestCase):
    def test_item_is_placed_again_after_a_burst_of_crashes(self):
        """Targets that crash under an item say nothing about the item."""

        async def test():
            async with platform_fakes.fleet(count=2) as fleet:
                for server in fleet.servers:
                    server.cut_after = 0
                body = platform_fakes.submission(1)
                await fleet.post('/jobs/j', body, **{'Request-Id': 'j'})
                with anyio.fail_after(10):
                    while sum(len(s.runs) for s in fleet.servers) < 3:
                        await anyio.sleep(0.01)
                for server in fleet.servers:
                    server.cut_after = None
                with anyio.fail_after(CALM_SECONDS):
                    page = await fleet.results('j', 1)
                self.assertEqual('completed', page['results'][0]['state'])

        platform_fakes.run(test)


class TestJobs(unittest.TestCase):
    # In a large fleet a host outside the core forwards calls on jobs.
    @expand([('small fleet', core.MAX_MESH_HOSTS), ('large fleet', 1)])
    def test_job_from_submit_to_last_read(self, _, core_hosts):
        async def test():
            async with platform_fakes.fleet(('one', 'two')) as fleet:
                path = '/jobs/j1'
                body = platform_fakes.submission()
                for host in ('one', 'two', 'one'):
                    answer = await fleet.post(
                        path, body, host, **{'Request-Id': 'j1'}
                    )
                    self.assertEqual(202, answer.status_code)
                pages = [
                    await fleet.results('j1', 3, host)
                    for host in ('one', 'two')
                ]
                self.assertEqual(pages[0], pages[1])
                self.assertEqual(3, pages[0]['total'])
                self.assertEqual(
                    {('completed', OUTPUT)},
                    {
                        (row['state'], row['output'])
                        for row in pages[0]['results']
                    },
                )
                self.assertEqual(
                    {'item-0', 'item-1', 'item-2'},
                    {row['id'] for row in pages[0]['results']},
                )
                answer = await fleet.get(
                    '/persimmonpass/items/j1?id=item-1', 'two'
                )
                self.assertEqual(b'x', answer.content)

        with platform_fakes.core_of(core_hosts):
            platform_fakes.run(test)

    @expand(
        [
            ('can not be done', 422, 1),
            ('fails each time', 500, 3),
        ]
    )
    def test_item_that_fails(self, _, status, runs):
        async def test():
            async with platform_fakes.fleet(count=1) as fleet:
                fleet.servers[0].status = status
                body = platform_fakes.submission(1)
                await fleet.post('/jobs/j', body, **{'Request-Id': 'j'})
                page = await fleet.results('j', 1)
                self.assertEqual('dead_letter', page['results'][0]['state'])
                self.assertEqual(runs, len(fleet.servers[0].runs))

        platform_fakes.run(test)

    @expand([('small fleet', core.MAX_MESH_HOSTS), ('large fleet', 1)])
    def test_delete_stops_the_runs_of_a_job(self, _, core_hosts):
        async def test():
            async with platform_fakes.fleet(('one', 'two'), 1) as fleet:
                server = fleet.servers[0]
                server.pace_seconds = 5.0
                body = platform_fakes.submission()
                await fleet.post('/jobs/j', body, **{'Request-Id': 'j'})
                with anyio.fail_after(5):
                    while server.busy < 3:
                        await anyio.sleep(0.01)
                for host in ('two', 'one'):
                    address = fleet.addresses[host]
                    answer = await fleet.client.delete(
                        f'http://{address}/persimmonpass/lots/j'
                    )
                    self.assertEqual(200, answer.status_code)
                with anyio.fail_after(1):
                    while server.busy:
                        await anyio.sleep(0.01)
                runs = len(server.runs)
                await anyio.sleep(0.5)
                self.assertEqual(runs, len(server.runs))

        with platform_fakes.core_of(core_hosts):
            platform_fakes.run(test)

    @expand(
        [
            ('no such job', '/persimmonpass/lots/none?after=0', 404),
            ('no such body', '/persimmonpass/items/none?id=i', 404),
            ('bad position', '/persimmonpass/lots/none?after=x', 400),
        ]
    )
    def test_bad_reads(self, _, path, status):
        async def test():
            async with platform_fakes.fleet(count=0) as fleet:
                answer = await fleet.get(path)
                self.assertEqual(status, answer.status_code)

        platform_fakes.run(test)

    def test_unknown_job_is_uncertain_in_an_outage(self):
        async def test():
            async with platform_fakes.fleet(count=0) as fleet:
                fleet.store.error_status = 503
                answer = await fleet.get('/persimmonpass/lots/none?after=0')
                self.assertEqual(503, answer.status_code)

        platform_fakes.run(test)

    @expand([('too many', 2, 429), ('fits', 1, 202)])
    def test_quota(self, _, count, status):
        async def test():
            config = platform_fakes.configuration(
                1, [platform_fakes.route('/jobs/', 'batch', maxCount=10)]
            )
            async with platform_fakes.fleet(count=0, config=config) as fleet:
                answer = await fleet.post(
                    '/jobs/j',
                    platform_fakes.submission(count),
                    **{'Request-Id': 'j'},
                )
                self.assertEqual(status, answer.status_code)

        platform_fakes.run(test)

    @expand([('not json', 'x'), ('no items', json.dumps({'item': []}))])
    def test_malformed_job(self, _, body):
        async def test():
            async with platform_fakes.fleet(count=0) as fleet:
                answer = await fleet.post(
                    '/jobs/j', body, **{'Request-Id': 'j'}
                )
                self.assertEqual(400, answer.status_code)

        platform_fakes.run(test)


class TestHosts(unittest.TestCase):
    def test_host_without_the_store_serves_through_a_peer(self):
        async def test():
            async with platform_fakes.fleet(('one', 'two'), 1) as fleet:
                memory = fleet.store.memory
                refusing = platform_fakes.StoreApp(memory)
                refusing.error_status = 503
                fleet.hosts[
                    'two'
                ]._relay._direct = platform_fakes.unreachable_store_port()
                body = platform_fakes.submission()
                answer = await fleet.post(
                    '/jobs/j', body, 'two', **{'Request-Id': 'j'}
                )
                self.assertEqual(202, answer.status_code)
                page = await fleet.results('j', 3, 'two')
                self.assertEqual(3, page['total'])
                memory.put(
                    'config',
                    'main',
                    platform_fakes.configuration(
                        9, [platform_fakes.route('/new/')]
                    ),
                )
                with anyio.fail_after(3):
                    while True:
                        answer = await fleet.post(
                            '/new/a', 'x', 'two', **{'Request-Id': 'r'}
                        )
                        if answer.status_code == 200:
                            break
                        await anyio.sleep(0.05)

        platform_fakes.run(test)

    def test_bound_socket_is_used(self):
        """A caller that connected before the gateway started is served."""

        async def test():
            async with platform_fakes.fleet(count=1) as fleet:
                bound = servers.listen('127.0.0.1:0')
                address = servers.address_of(bound)
                answers = []

                async def send_request():
                    answers.append(
                        await fleet.client.post(
                            f'http://{address}/notes/a',
                            content='x',
                            headers={
                                'Host': platform_fakes.HOST,
                                'Request-Id': 'early',
                            },
                        )
                    )

                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(send_request)
                    await anyio.sleep(0.1)
                    await fleet.start_host(
                        'two', fleet.store_address, bound={address: bound}
                    )
                self.assertEqual(
                    [200], [answer.status_code for answer in answers]
                )

        platform_fakes.run(test)

    def test_entry_answers_name_the_core_of_a_large_fleet(self):
        async def test():
            async with platform_fakes.fleet(('one', 'two'), 1) as fleet:
                found = set()
                with anyio.fail_after(5):
                    while len(found) != 1:
                        await anyio.sleep(0.05)
                        found = {
                            address
                            for entry in fleet.entries.values()
                            for address in (await _resolve(fleet, entry))
                        }
                # Hosts outside the core still serve callers that connect.
                for host in ('one', 'two'):
                    answer = await fleet.post(
                        '/notes/a', 'x', host, **{'Request-Id': host}
                    )
                    self.assertEqual(200, answer.status_code)

        with platform_fakes.core_of(1):
            platform_fakes.run(test)

    def test_entry_answers_leave_out_a_leaving_host(self):
        async def test():
            async with platform_fakes.fleet(('one', 'two'), 1) as fleet:
                entry = fleet.entries['one']
                with anyio.fail_after(5):
                    while len(await _resolve(fleet, entry)) < 2:
                        await anyio.sleep(0.05)
                fleet.hosts['two'].drain()
                with anyio.fail_after(1):
                    while await _resolve(fleet, entry) != {
                        fleet.addresses['one']
                    }:
                        await anyio.sleep(0.02)
                # Callers that keep an older entry answer are still served.
                answer = await fleet.post(
                    '/notes/a', 'x', 'two', **{'Request-Id': 'r'}
                )
                self.assertEqual(200, answer.status_code)
                self.assertEqual('close', answer.headers['connection'])
                with anyio.fail_after(8):
                    await fleet.stopped['two'].wait()

        platform_fakes.run(test)


if __name__ == '__main__':
    unittest.main()
