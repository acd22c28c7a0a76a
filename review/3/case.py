"""A route is added whose prefix covers the path of a job's first item."""

import asyncio
import json
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import harness  # noqa: E402

JOB = '7c41e09b52d6a3f8'
ADDED = '/pule252/3/'


async def case(fleet):
    fleet.make_hosts(['edge-col-a-1', 'edge-col-b-1', 'edge-neg-c-1'],
                     ['col-a', 'col-b', 'neg-c'])
    for number, zone in enumerate(['col-a', 'col-b', 'neg-c']):
        await fleet.add_server(f'i-assist{number}', 'assist', zone)
    chat = []
    for number, zone in enumerate(['col-a', 'col-b']):
        chat.append(await fleet.add_server(f'i-chat{number}', 'chat', zone))
    for server in fleet.servers:
        server.text = (lambda request_id, number, by=server.service:
                       f'{by} {request_id} {number}')
    services = ('assist', 'chat')
    other = harness.stream_route(service='chat')
    await fleet.start(harness.config(
        1, [harness.batch_route(), other], services))
    if harness.has_trouble():
        added = harness.batch_route(
            name='r-added', pathPrefix=ADDED, service='chat')
        fleet.put_config(harness.config(
            2, [harness.batch_route(), other, added], services))
        # Twice configApplyMs.
        await asyncio.sleep(4.0)
    # Only the first item is under the added prefix.
    items = [harness.item('a000000000000000', f'{ADDED}91c4')]
    items += [harness.item(f'b{number:015x}', f'/pule252/{number + 4}/91c4')
              for number in range(8)]
    status = await fleet.submit(fleet.hosts[0], '/pule252/7c41e0', JOB, items)
    if status != 202:
        raise harness.Unready(f'the job was answered {status}')
    page = None
    end = time.monotonic() + 18
    while time.monotonic() < end:
        page = await fleet.read(fleet.hosts[1], JOB, 0, 1000, quiet=True)
        if page and page['next'] == len(items):
            break
        await asyncio.sleep(0.2)
    broken = []
    paths = {row['id']: row['path'] for row in items}
    for server in chat:
        for request_id, target, _, _ in server.runs:
            if not target.startswith((ADDED, other['pathPrefix'])):
                broken.append(
                    f'ROUTE: item {request_id} of {target} ran at '
                    f'{server.name} of service chat, to which no version '
                    'sends this path')
    for row in page['results'] if page else []:
        fleet.record.add('result ' + json.dumps(row)[:120])
        if not paths[row['id']].startswith(ADDED):
            if row['output'].startswith('chat'):
                broken.append(f'item {row["id"]} is listed as {row["state"]} '
                              'with the output of service chat')
    if not page or page['next'] != len(items):
        fleet.record.add('not all items were listed in time')
    return broken


harness.main(FOLDER, case)
