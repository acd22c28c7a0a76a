"""Callers that go on calling at hosts that are stopped, on plain sockets.

They stay until the process is gone and ignore ``Connection: close``. Each
request is recorded with what was sent and what came back, so that requests
that were cut can be told apart from those that crossed a close.
"""

import collections
import contextlib
import itertools
import json
import random
import time

import anyio
import eliot

from tests import platform_fakes

GRACE_SECONDS = 8.0
# Bounds of the users' rules on requests around a stop.
SLACK_SECONDS = 0.2
LATE_SEND_SHARE = 3 / 8
LAST_WORK_SHARE = 5 / 6
DEADLINE_SECONDS = 5.0
RECONNECT_SECONDS = 0.03
ANSWER_SECONDS = 12.0
ITEMS = 2
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# Fields of log lines that tell how a request went.
FIELDS = (
    *('target', 'cause', 'after', 'runs', 'outcome', 'read', 'started'),
    *('left', 'draining', 'ms'),
)
JOBS_PATH = '/persimmonpass/lots/'


class Attempt:
    """One request of a caller and its answer.

    :ivar first_at: clock when its first byte was sent
    :ivar last_at: clock when its last byte was sent, ``None`` if never
    :ivar ended_at: clock when the answer or the connection had ended
    :ivar status: status of the answer, ``None`` if there was no whole head
    :ivar has_bytes: whether any byte of an answer came
    :ivar is_whole: whether the whole answer came
    :ivar body: what came of the answer's body
    :ivar is_reused: whether the connection had served a request before
    """

    def __init__(self, request_id, caller, path):
        self.id = request_id
        self.caller = caller
        self.path = path
        self.first_at = 0.0
        self.last_at = None
        self.ended_at = 0.0
        self.status = None
        self.headers = {}
        self.has_bytes = False
        self.is_whole = False
        self.body = b''
        self.is_reused = False


class Connection:
    """A connection of a caller.

    :ivar unread: bytes that came and belong to no answer yet
    :ivar used: number of requests that were sent on it
    """

    def __init__(self, stream):
        self.stream = stream
        self.unread = b''
        self.used = 0


class Load:
    """The callers of one case.

    :ivar attempts: all requests, in the order of their start
    :ivar accepted: ids of the jobs that were accepted
    :ivar ended: ids of the jobs whose end was asked
    """

    def __init__(self, name, seed):
        self.name = name
        self.rng = random.Random(seed)
        self.attempts = []
        self.accepted = []
        self.ended = set()
        self._numbers = itertools.count()

    def make_attempt(self, caller, path):
        """Return a new request, which is recorded."""
        request_id = f'{self.name}-{caller}-{next(self._numbers)}'
        attempt = Attempt(request_id, caller, path)
        self.attempts.append(attempt)
        return attempt


def head_of(attempt, method='POST', **headers):
    """Return the head of a request.

    :param headers: further headers; ``{id}`` stands for the request's id
    """
    lines = [
        f'{method} {attempt.path} HTTP/1.1',
        f'Host: {platform_fakes.HOST}',
        f'Request-Id: {attempt.id}',
        f'Deadline-Ms: {1000 * DEADLINE_SECONDS:.0f}',
        *(
            f'{name.replace("_", "-")}: {text}'.format(id=attempt.id)
            for name, text in headers.items()
        ),
    ]
    return '\r\n'.join([*lines, '', '']).encode()


def id_as_body(attempt):
    """Return a body that is its request's own."""
    return attempt.id.encode()


def plain_parts(attempt, body, **headers):
    """Return a request with a length as one part."""
    return [head_of(attempt, Content_Length=len(body), **headers) + body]


def chunked_parts(attempt, body, count, **headers):
    """Return the parts of a request whose body is sent in chunks."""
    size = -(-len(body) // count)
    chunks = [body[at : at + size] for at in range(0, len(body), size)]
    return [
        head_of(attempt, Transfer_Encoding='chunked', **headers),
        *(b'%x\r\n%s\r\n' % (len(chunk), chunk) for chunk in chunks),
        b'0\r\n\r\n',
    ]


async def _receive(connection, attempt):
    data = await connection.stream.receive()
    attempt.has_bytes = True
    connection.unread += data


async def _read_line(connection, attempt):
    while b'\r\n' not in connection.unread:
        await _receive(connection, attempt)
    line, _, connection.unread = connection.unread.partition(b'\r\n')
    return line


async def _read_bytes(connection, attempt, size):
    """Move a number of bytes to the body; what came of them stays there."""
    while size:
        part = connection.unread[:size]
        connection.unread = connection.unread[size:]
        attempt.body += part
        size -= len(part)
        if size and not part:
            await _receive(connection, attempt)


async def _read_answer(connection, attempt):
    line = await _read_line(connection, attempt)
    status = int(line.split()[1])
    headers = {}
    while line := await _read_line(connection, attempt):
        name, _, text = line.decode().partition(':')
        headers[name.lower()] = text.strip()
    attempt.status, attempt.headers = status, headers
    if 'content-length' in headers:
        length = int(headers['content-length'])
        await _read_bytes(connection, attempt, length)
    else:
        assert headers.get('transfer-encoding') == 'chunked', headers
        while size := int(await _read_line(connection, attempt), 16):
            await _read_bytes(connection, attempt, size)
            await _read_line(connection, attempt)
        await _read_line(connection, attempt)
    attempt.is_whole = True


async def exchange(connection, attempt, parts, pause=lambda: 0.0):
    """Send the parts of a request with pauses and read the answer."""
    attempt.is_reused = connection.used > 0
    connection.used += 1
    attempt.first_at = anyio.current_time()
    with contextlib.suppress(
        anyio.EndOfStream, anyio.BrokenResourceError, TimeoutError
    ):
        with contextlib.suppress(anyio.BrokenResourceError):
            for number, part in enumerate(parts):
                if number:
                    await anyio.sleep(pause())
                await connection.stream.send(part)
            attempt.last_at = anyio.current_time()
        with anyio.fail_after(ANSWER_SECONDS):
            await _read_answer(connection, attempt)
    attempt.ended_at = anyio.current_time()


async def connect(address):
    """Return a connection, ``None`` if the host takes none."""
    ip, _, port = address.rpartition(':')
    with contextlib.suppress(OSError, TimeoutError):
        with anyio.fail_after(1):
            return Connection(await anyio.connect_tcp(ip, int(port)))
    return None


def caller(
    load,
    address,
    path,
    keeps=True,
    pauses=(0.0, 0.05),
    chunk_pauses=None,
    make_body=id_as_body,
    **headers,
):
    """Return a function that calls until it is cancelled.

    :param keeps: whether it uses a connection until the host closes it
    :param pauses: range of the pauses between requests, in seconds
    :param chunk_pauses: range of the pauses between the chunks of a body;
        ``None`` for bodies with a length
    :param make_body: takes a request; returns its body
    :param headers: further headers
    """

    def pause():
        return load.rng.uniform(*chunk_pauses)

    async def call(name):
        connection = None
        await anyio.sleep(load.rng.uniform(0.0, pauses[1]))
        while True:
            connection = connection or await connect(address)
            if connection is None:
                await anyio.sleep(RECONNECT_SECONDS)
                continue
            attempt = load.make_attempt(name, path)
            body = make_body(attempt)
            if chunk_pauses:
                count = load.rng.randint(2, 4)
                parts = chunked_parts(attempt, body, count, **headers)
            else:
                parts = plain_parts(attempt, body, **headers)
            await exchange(connection, attempt, parts, pause)
            if not (keeps and attempt.is_whole):
                await connection.stream.aclose()
                connection = None
            await anyio.sleep(load.rng.uniform(*pauses))

    return call


def job_caller(load, address):
    """Return a function that submits, reads and ends jobs.

    Each call has its own connection.
    """

    async def call_once(attempt, parts):
        connection = await connect(address)
        if connection is None:
            load.attempts.remove(attempt)
            await anyio.sleep(RECONNECT_SECONDS)
            return
        await exchange(connection, attempt, parts)
        await connection.stream.aclose()

    async def submit(name):
        attempt = load.make_attempt(name, '/jobs/j')
        body = platform_fakes.submission(ITEMS).encode()
        await call_once(attempt, plain_parts(attempt, body))
        if attempt.status == 202:
            load.accepted.append(attempt.id)

    async def read(name):
        job = load.rng.choice(load.accepted)
        after = load.rng.choice((0, ITEMS))
        attempt = load.make_attempt(name, f'{JOBS_PATH}{job}?after={after}')
        await call_once(attempt, [head_of(attempt, 'GET', Wait_Ms=1000)])

    async def end(name):
        job = load.rng.choice(load.accepted)
        load.ended.add(job)
        attempt = load.make_attempt(name, f'{JOBS_PATH}{job}')
        await call_once(attempt, [head_of(attempt, 'DELETE')])

    async def call(name):
        while True:
            kinds = (submit, read, read, end) if load.accepted else (submit,)
            await load.rng.choice(kinds)(name)
            await anyio.sleep(load.rng.uniform(0.0, 0.15))

    return call


class Log:
    """Log lines about requests, by request id.

    :ivar lines: clock, number of the event and its fields
    """

    def __init__(self):
        self.lines = collections.defaultdict(list)
        self._offset = time.time() - anyio.current_time()

    def add(self, message):
        """Add a log message; those about no request have an empty id."""
        kind = message.get('message_type', '').partition(' ')[0]
        if kind.startswith('PP'):
            fields = {
                name: value
                for name, value in message.items()
                if not name.startswith('task_')
                and name not in ('message_type', 'level', 'timestamp')
            }
            at = message['timestamp'] - self._offset
            key = fields.pop('key', '')
            self.lines[key].append((at, int(kind[2:]), fields))

    def read(self, path):
        """Add the lines of a log file."""
        for line in path.read_text().splitlines():
            with contextlib.suppress(json.JSONDecodeError):
                self.add(json.loads(line))


@contextlib.contextmanager
def logged():
    """Collect the log messages of this process."""
    log = Log()
    eliot.add_destinations(log.add)
    try:
        yield log
    finally:
        eliot.remove_destination(log.add)


def is_lost(attempt, stopped_at, ran, finished, grace=GRACE_SECONDS):
    """Return whether a request counts as cut by a stop.

    :param stopped_at: clock when the host was told to stop
    :param ran: ids of the requests that targets ran
    :param finished: ids of the requests whose answers targets sent whole
    :param grace: seconds that a host has for its stop
    """
    if attempt.is_whole or attempt.last_at is None:
        return False
    if attempt.id not in ran and (
        attempt.ended_at - attempt.last_at <= SLACK_SECONDS
    ):
        return False
    if attempt.ended_at - attempt.first_at >= DEADLINE_SECONDS:
        return False
    was_at_work = (
        attempt.id in ran
        and attempt.id not in finished
        and attempt.ended_at - stopped_at >= LAST_WORK_SHARE * grace
    )
    is_early = attempt.last_at - stopped_at <= LATE_SEND_SHARE * grace
    return not (was_at_work and is_early)


def describe(attempt, stopped_at, ran, log):
    """Return a line that tells how a request went, with its log lines.

    Times are in seconds since the host was told to stop.
    """
    lines = '; '.join(
        f'{number}@{at - stopped_at:.2f} '
        + ' '.join(
            f'{name}={fields[name]}' for name in FIELDS if name in fields
        )
        for at, number, fields in log.lines[attempt.id]
    )
    sent = [attempt.first_at - stopped_at]
    if attempt.last_at is not None:
        sent.append(attempt.last_at - stopped_at)
    return (
        f'{attempt.id} {attempt.path} reused={attempt.is_reused} '
        f'sent={[round(at, 2) for at in sent]} '
        f'ended={attempt.ended_at - stopped_at:.2f} '
        f'runs={ran[attempt.id]} status={attempt.status} '
        f'whole={attempt.is_whole} bytes={len(attempt.body)} [{lines}]'
    )


def expected_stream(attempt):
    """Return the whole answer of a target to a request."""
    return ''.join(
        f'id: {n}\ndata: {attempt.id}-{n}\n\n'
        for n in range(1, platform_fakes.TOKENS + 1)
    ).encode()
