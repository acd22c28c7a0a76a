"""One server in three spoils at most three answers in a hundred."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from stand3 import world  # noqa: E402

TIMEOUT_SECONDS = 5.0
# Clients wait longer than the route's timeout.
DEADLINE_MS = 6_000
REQUESTS = 360
PAUSE_SECONDS = 0.06
# One answer in this many of the faulty server is spoilt.
SPOILT_ONE_IN = 34
# The head of a stream, and a chunk whose size is a negative number.
SPOILT = (
    b'HTTP/1.1 200 OK\r\n'
    b'Request-Id: %s\r\n'
    b'Response-Signature: s.%s\r\n'
    b'Content-Type: text/event-stream\r\n'
    b'Transfer-Encoding: chunked\r\n'
    b'\r\n'
    b'-6\r\n'
    b'id: 1\ndata: x\n\n\r\n'
)


async def play(scene, disturbs):
    """Send requests to all hosts in turn; return whether CONFIG was broken."""

    def spoil(request, before):
        if before % SPOILT_ONE_IN != SPOILT_ONE_IN - 1:
            return None
        key = request.headers['request-id'].encode()
        return SPOILT % (key, key)

    if disturbs:
        scene.servers[0].spoil = spoil

    answers = []

    async def send(number):
        host = scene.hosts[number % len(scene.hosts)]
        key = f'{0xA000 + number:016x}'
        answers.append(await scene.stream(host, key, DEADLINE_MS))

    tasks = []
    for number in range(REQUESTS):
        tasks.append(asyncio.ensure_future(send(number)))
        await asyncio.sleep(PAUSE_SECONDS)
    await asyncio.gather(*tasks)
    unanswered = [
        row for row in answers if row.seconds > TIMEOUT_SECONDS + 0.5
    ]
    late = [row for row in answers if row.seconds > TIMEOUT_SECONDS]
    ready = [await host.is_ready() for host in scene.hosts]
    spoilt = sum(
        'bytes that are no answer' in line
        for line in open(pathlib.Path(__file__).parent / 'record.txt')
    )
    scene.record.write(
        f'of {len(answers)} requests {len(late)} had no answer at their '
        f"route's timeout, {len(unanswered)} none half a second later; "
        f'{spoilt} answers were spoilt, {scene.servers[0].answered} made by '
        f'that server; hosts that answer the platform: {sum(ready)} of '
        f'{len(ready)}'
    )
    return len(unanswered) >= 8 and 2 * len(unanswered) > len(late)


if __name__ == '__main__':
    world.main(__file__, play)
