"""Items of a split route wait for a service that has lost its servers."""

import asyncio
import pathlib
import sys
import time

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / 'stand2'))
import kit  # noqa: E402

FINISH_SECONDS = 18.0
ITEMS = 12


async def main(case):
    fleet = kit.Fleet(case, machines=3)
    kit.FLEETS.append(fleet)
    record = fleet.record
    lots = kit.route(
        'reminder-batch', 'batch', '', '/lots7/', priority=2, maxAttempts=3,
        runTargetMs=18000, retentionS=60, maxCount=1600000, sloMs=400,
        timeoutMs=15000,
    )
    del lots['service']
    lots['split'] = [
        {'service': 'assist', 'weight': 80},
        {'service': 'assist-next', 'weight': 20},
    ]
    await fleet.start(kit.config(1, [lots], {'assist': 8, 'assist-next': 8}))
    for number in range(4):
        await fleet.engine(
            f'i-{number}', 'assist', zone=fleet.zones[number % 3], events=40,
        )
    lost = await fleet.engine('i-next', 'assist-next', events=40)
    await asyncio.sleep(2.5)
    client = kit.BatchClient(fleet)
    jobs = {}

    async def submit(count):
        for _ in range(count):
            job_id, items = client.job(ITEMS)
            for number in range(4):
                host = fleet.hosts[(len(jobs) + number) % len(fleet.hosts)]
                if await client.submit(host, job_id, items) == 202:
                    jobs[job_id] = items
                    break
                await asyncio.sleep(0.4)
            await asyncio.sleep(1.0)

    await submit(3)
    if kit.trouble():
        # The server is lost for good; the store removes its entry after three
        # heartbeat intervals.
        lost.crash()

        async def remove():
            await asyncio.sleep(3.6)
            fleet.store.remove('servers', 'i-next')

        removal = asyncio.create_task(remove())
    await submit(6)
    if kit.trouble():
        await removal
    record.line('traffic has ended')
    await asyncio.sleep(FINISH_SECONDS)
    record.line('finishS is over')
    now = time.monotonic()
    runs = [run for engine in fleet.engines for run in engine.runs]
    running = [run['id'] for run in runs if run['ended'] is None]
    last_end = max(run['ended'] or now for run in runs)
    record.line(
        f'{len(running)} items run, the last run ended {now - last_end:.1f} s '
        'ago'
    )
    missing = 0
    for job_id, items in jobs.items():
        results = []
        for host in fleet.hosts * 5:
            status, page = await client.read(host, job_id, len(results), 200)
            if page is not None:
                results += page['results']
        listed = {row['id'] for row in results}
        waiting = [row['id'] for row in items if row['id'] not in listed]
        record.line(
            f'{job_id}: {len(listed)} of {len(items)} items are listed, '
            f'not listed: {waiting}'
        )
        for item in waiting:
            had = [
                run for run in runs
                if run['id'] == item and (run['ended'] or now) > now - 20.0
            ]
            missing += not had
    print(f'{len(jobs)} jobs, {missing} items are not listed')
    record.line(f'{missing} items are not listed, and no server had them')
    if running or now - last_end < 3.0 or not jobs:
        return fleet, kit.NO_RUN
    return fleet, kit.BROKEN if missing else kit.HOLD


kit.run(CASE, main)
