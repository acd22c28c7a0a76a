"""Half of the hosts lose power at once, among them those that watch the store.

A client that has read a result at one surviving host reads the same position
at another one, later than settleMs.
"""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import harness  # noqa: E402

NAMES = ['edge-col-a-1', 'edge-col-b-1', 'edge-neg-c-1', 'edge-col-a-2',
         'edge-col-b-2', 'edge-neg-c-2', 'edge-col-a-3', 'edge-col-b-3']
# These hosts are the first that watch the store, and those that follow them.
LOST = ['edge-col-b-2', 'edge-col-a-2', 'edge-col-b-3', 'edge-neg-c-1']
DARK_SECONDS = 2.0
JOBS = 48
ITEMS = 10
SETTLE = harness.BOUNDS['settleMs'] / 1000


async def case(fleet):
    fleet.make_hosts(NAMES, ['col-a', 'col-b', 'neg-c'])
    for number in range(5):
        server = await fleet.add_server(
            f'i-assist{number}', 'assist', ['col-a', 'col-b'][number % 2])
        server.count = lambda request_id: 30
        server.pace = lambda request_id: (
            0.04 + 0.02 * (int(request_id[-4:]) * 7919 % 100) / 100)
    await fleet.start(harness.config(
        1, [harness.batch_route(), harness.stream_route()]))
    hosts = {host.name: host for host in fleet.hosts}
    lost = [hosts[name] for name in LOST]
    alive = [host for host in fleet.hosts if host.name not in LOST]
    jobs = [f'7c41e09b52d6{number:04x}' for number in range(JOBS)]
    for number, job in enumerate(jobs):
        items = [harness.item(f'b{number:07}{each:04}',
                              f'/pule252/{each}/91c4')
                 for each in range(ITEMS)]
        status = await fleet.submit(
            alive[number % len(alive)], f'/pule252/{number}', job, items)
        if status != 202:
            raise harness.Unready(f'job {job} was answered {status}')
    # Time at which the answer with a position had arrived, by job.
    read_at = {job: [] for job in jobs}
    broken = []
    waiting = set()

    async def look_again(job, position, first_at, host):
        for delay in (0.01, 0.1, 0.2, 0.3, 0.5):
            await asyncio.sleep(
                max(0.0, first_at + SETTLE + delay - time.monotonic()))
            sent = time.monotonic() - first_at
            page = await fleet.read(host, job, position, quiet=True)
            if page is not None and not page['results']:
                line = (f'LOST: {host.name} answers 200 with next '
                        f'{page["next"]} of {page["total"]} and has nothing '
                        f'at position {position} of {job}, asked '
                        f'{sent:.3f} s after it had been read')
                fleet.record.add(line)
                broken.append(line)

    async def read_on(host, job):
        known = read_at[job]
        page = await fleet.read(host, job, len(known), quiet=True)
        if page is None:
            return
        now = time.monotonic()
        # Another reader may have read the same results meanwhile.
        for position in range(len(known), page['next']):
            known.append(now)
            for other in alive:
                if other is not host:
                    task = fleet.spawn(
                        look_again(job, position, now, other))
                    waiting.add(task)
                    task.add_done_callback(waiting.discard)

    async def poll(host):
        while True:
            # Jobs are run in the order in which they came.
            unread = [job for job in jobs if len(read_at[job]) < ITEMS]
            await asyncio.gather(*(read_on(host, job) for job in unread[:10]))
            await asyncio.sleep(0.03)

    for host in alive:
        fleet.spawn(poll(host))
    # Results are written at once when their job is due within three seconds.
    await asyncio.sleep(15.5)
    if harness.has_trouble():
        # A machine without power answers nothing, and closes nothing.
        for host in lost:
            host.send(signal.SIGSTOP)
    await asyncio.sleep(DARK_SECONDS)
    if harness.has_trouble():
        for host in lost:
            host.send(signal.SIGKILL)
            await host.process.wait()
            await host.start()
    end = time.monotonic() + 25
    while time.monotonic() < end and (
        waiting or any(len(known) < ITEMS for known in read_at.values())
    ):
        await asyncio.sleep(0.2)
    seen = sum(map(len, read_at.values()))
    fleet.record.add(f'{seen} of {JOBS * ITEMS} results were read')
    return broken


harness.main(FOLDER, case)
