"""The loss of one server makes all slower lookups fail."""

import asyncio
import pathlib
import random
import sys
import time

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / 'stand2'))
import kit  # noqa: E402

RECOVERY_SECONDS = 12.0
CALLERS = 6
WORK_SECONDS = 0.6
ATTEMPTS = 3


async def answer(engine, first, fields, body, writer, connection):
    """Answer a lookup after some work."""
    request_id = fields.get('request-id', '')
    if engine.running >= engine.slots:
        writer.write(
            kit.message(503, [('Not-Executed', '1'), ('Request-Id', request_id)])
        )
        await writer.drain()
        return True
    engine.running += 1
    try:
        await asyncio.sleep(WORK_SECONDS)
        writer.write(
            kit.message(
                200,
                [
                    ('Request-Id', request_id),
                    ('Response-Signature', f'{engine.name}.{request_id}'),
                ],
                f'roster for {request_id}'.encode(),
            )
        )
        await writer.drain()
    finally:
        engine.running -= 1
    return True


async def main(case):
    fleet = kit.Fleet(case, machines=3)
    kit.FLEETS.append(fleet)
    record = fleet.record

    def config(version):
        return kit.config(
            version,
            [
                kit.route(
                    'roster-lookup', 'idempotent', 'assist', '/roster/',
                    maxAttempts=ATTEMPTS, timeoutMs=5000, sloMs=2000,
                )
            ],
            {'assist': 8},
        )

    await fleet.start(config(1))
    storage = await fleet.storage()
    for number in range(3):
        await fleet.engine(
            f'i-{number}', 'assist', react=answer,
            zone=fleet.zones[number % 3],
        )
    await asyncio.sleep(2.5)
    sent = []
    stop = asyncio.Event()

    async def caller(number):
        while not stop.is_set():
            at = time.monotonic()
            status = await kit.lookup(fleet, random.randrange(3), '', {})
            sent.append((at, status))
            await asyncio.sleep(random.uniform(0.1, 0.4))

    def share(since, until):
        rows = [status for at, status in sent if since <= at < until]
        served = sum(status == 200 for status in rows)
        return served, len(rows)

    async with asyncio.TaskGroup() as tasks:
        for number in range(CALLERS):
            tasks.create_task(caller(number))
        began = time.monotonic()
        await asyncio.sleep(10)
        # One of three servers is lost for good; the store removes its entry
        # after three heartbeat intervals.
        if kit.trouble():
            fleet.engines[0].crash()
        await asyncio.sleep(4)
        # The final fault: all processes of the system are killed at the same
        # moment, and are back within a second.
        final = time.monotonic()
        if kit.trouble():
            fleet.store.remove('servers', 'i-0')
            for host in [*fleet.hosts, storage]:
                await host.kill()
            await asyncio.sleep(0.5)
            for host in [*fleet.hosts, storage]:
                await host.start()
        back = time.monotonic()
        record.line('the machines are back')
        await asyncio.sleep(RECOVERY_SECONDS + 15.0)
        end = time.monotonic()
        stop.set()
    before = share(began, final)
    after = share(back + RECOVERY_SECONDS, end)
    record.line(f'before the final fault {before[0]} of {before[1]} served')
    record.line(
        f'later than {RECOVERY_SECONDS} s after the machines were back '
        f'{after[0]} of {after[1]} served'
    )
    print(f'served: {before} before, {after} after')
    if not after[1] or 4 * before[0] < before[1]:
        return fleet, kit.NO_RUN
    return fleet, kit.BROKEN if 4 * after[0] < after[1] else kit.HOLD


kit.run(CASE, main)
