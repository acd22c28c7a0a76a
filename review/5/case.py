"""A batch route is moved to a service whose servers have one slot each."""

import asyncio
import json
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import harness  # noqa: E402

JOB = '7c41e09b52d6a3f8'
ITEMS = 6


async def case(fleet):
    fleet.make_hosts(['edge-col-a-1', 'edge-col-b-1', 'edge-neg-c-1'],
                     ['col-a', 'col-b', 'neg-c'])
    for number, host in enumerate(fleet.hosts):
        await fleet.add_server(f'i-assist{number}', 'assist', host.zone)
    for number, host in enumerate(fleet.hosts):
        await fleet.add_server(f'i-small{number}', 'small', host.zone, 1)

    def configuration(version, service):
        found = harness.config(version, [
            harness.batch_route(service=service), harness.stream_route(),
            harness.stream_route(name='r-small', pathPrefix='/smal1/',
                                 service='small')], ('assist', 'small'))
        found['services'][1]['engine']['slots'] = 1
        return found

    await fleet.start(configuration(1, 'assist'))
    if harness.has_trouble():
        fleet.put_config(configuration(2, 'small'))
        await asyncio.sleep(4.0)
    # The servers of the service do serve.
    found = await harness.try_call(
        fleet.hosts[1].front, 'POST', '/smal1/2f',
        {'Request-Id': '9c41d07be2a35f68', 'Model': 'm',
         'Token-Usage': '540,400', 'Prompt-Prefix': '9c2e41:300,5d07b8:240',
         'Deadline-Ms': 5000}, b'x')
    fleet.record.add(f'client: online request: {found and found[0]}')
    items = [harness.item(f'b{number:015}', f'/pule252/{number}/91c4')
             for number in range(ITEMS)]
    status = await fleet.submit(fleet.hosts[0], '/pule252/7c41e0', JOB, items)
    if status != 202:
        raise harness.Unready(f'the job was answered {status}')
    page = None
    # finishS, and as long again.
    end = time.monotonic() + 2 * harness.BOUNDS['finishS']
    while time.monotonic() < end:
        page = await fleet.read(fleet.hosts[1], JOB, 0, 1000, quiet=True)
        if page and page['next'] == ITEMS:
            break
        await asyncio.sleep(0.2)
    fleet.record.add('client: results: ' + json.dumps(page)[:400])
    if page is None:
        raise harness.Unready('the results cannot be read')
    busy = [name for server in fleet.servers for name in server.running]
    if page['next'] < ITEMS and not busy:
        return [
            f'LOST: {ITEMS - page["next"]} of {ITEMS} items of the open job '
            'are listed neither as completed nor as dead_letter '
            f'{2 * harness.BOUNDS["finishS"]} s after the job was accepted; '
            'all servers are idle']
    return []


harness.main(FOLDER, case)
