"""Items that no server has the memory for keep sound items from being run."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from stand3 import world  # noqa: E402

SERVERS = 2
KV_CAPACITY = 147_261
LARGE_ITEMS = 14
SOUND_JOBS = 5
SOUND_ITEMS = 10
# The limit of the route, which holds all items.
MAX_COUNT = 2_100_000
# Shorter than ``retentionS``, after which an item may be given up.
WAIT_SECONDS = 45.0
# How long before the end no server may have had an item, and no item may have
# been finished.
CALM_SECONDS = 5.0
UNFINISHED_SECONDS = 3.0


class Server(world.Server):
    """A server that rejects what is larger than its memory, as if it were full.

    :ivar rejected: number of requests that it has rejected
    :ivar had: when it last had each of the requests that it began to run
    :ivar finished_at: when it last finished one
    """

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.rejected = 0
        self.had = {}
        self.finished_at = 0.0
        self.events = 40

    async def _answer(self, request, reader, writer):
        usage = request.headers.get('token-usage', '0')
        if sum(map(int, usage.split(','))) <= KV_CAPACITY:
            return await super()._answer(request, reader, writer)
        key = request.headers.get('request-id', '')
        self.rejected += 1
        self._record.write(f'{self.name} has too little memory, rejects {key}')
        fields = [('Request-Id', key), ('Not-Executed', '1')]
        writer.write(world.encode_answer(503, b'', fields))
        await writer.drain()
        return True

    async def _run(self, request, key, reader, writer):
        self.had[key] = float('inf')
        try:
            is_finished = await super()._run(request, key, reader, writer)
            if is_finished:
                self.finished_at = time.monotonic()
            return is_finished
        finally:
            self.had[key] = time.monotonic()


def prepare(scene):
    """Give the deployment servers with limited memory."""
    scene.servers = [
        Server(
            scene.record, scene.store, 0x51A0 + number, row.address, row.zone
        )
        for number, row in enumerate(scene.servers)
    ]
    scene.routes[1]['maxCount'] = MAX_COUNT


def make_large_item(key):
    """Return an item whose prompt alone is larger than a server's memory."""
    prompt = KV_CAPACITY + 1
    return world.make_item(
        key,
        headers={
            'Model': 'm',
            'Token-Usage': f'{prompt},198',
            'Prompt-Prefix': f'9c2e41:100,{key}:{prompt - 100}',
        },
        tokens=prompt + 198,
    )


async def find_lost(scene, items):
    """Return the ids of the items that are lost by the rule.

    :param items: those of all batch jobs, by the id of the job
    """
    lost = []
    for key, ids in items.items():
        listed = {row['id'] for row in await scene.read_all(key)}
        scene.record.write(f'{key}: {len(listed)} of {len(ids)} are listed')
        missing = [name for name in ids if name not in listed]
        now = time.monotonic()
        has_had = any(
            server.had.get(name, 0.0) > now - CALM_SECONDS
            for server in scene.servers
            for name in missing
        )
        has_finished = any(
            server.finished_at > now - UNFINISHED_SECONDS
            for server in scene.servers
        )
        is_full = any(
            2 * server.running >= server.slots for server in scene.servers
        )
        if not (has_had or has_finished or is_full):
            lost += missing
    return lost


async def play(scene, disturbs):
    """Send batch jobs; return whether LOST was broken."""
    make_item = make_large_item if disturbs else world.make_item
    large = [make_item(f'{0xB0000000 + row:016x}') for row in range(LARGE_ITEMS)]
    if not await scene.submit(f'{0xB00:016x}', large):
        raise RuntimeError('the first batch job was not accepted')
    accepted = {}

    async def submit(number):
        key = f'{0xC00 + number:016x}'
        items = [
            world.make_item(f'{0xC0000000 + 256 * number + row:016x}')
            for row in range(SOUND_ITEMS)
        ]
        first = number % len(scene.hosts)
        hosts = scene.hosts[first:] + scene.hosts[:first]
        if await scene.submit(key, items, hosts):
            accepted[key] = [item['id'] for item in items]

    await asyncio.gather(*(submit(number) for number in range(SOUND_JOBS)))
    await asyncio.sleep(WAIT_SECONDS)
    lost = await find_lost(scene, accepted)
    total = sum(map(len, accepted.values()))
    scene.record.write(
        f'{len(lost)} of {total} sound items are lost; requests that servers '
        f'rejected: {[server.rejected for server in scene.servers]}; runs: '
        f'{[len(server.runs) for server in scene.servers]}'
    )
    return bool(lost)


if __name__ == '__main__':
    world.main(__file__, play, servers=SERVERS, prepare=prepare)
