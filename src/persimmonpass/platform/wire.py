"""Wire format of requests and answers, as callers and servers use it."""

import collections.abc
import math

from persimmonpass import accounts
from persimmonpass import blackboard
from persimmonpass import exchange
from persimmonpass import numerals

REQUEST_ID = b'request-id'
DEADLINE_MS = b'deadline-ms'
LAST_EVENT_ID = b'last-event-id'
RESUMES = b'resumes'
PROMPT_PREFIX = b'prompt-prefix'
TOKEN_USAGE = b'token-usage'
EXPECT_INSTANCE = b'expect-instance'
NOT_EXECUTED = b'not-executed'
SERVER_LEAVING = b'server-leaving'
SERVER_LIMIT = b'server-limit'
AUTHORIZATION = b'authorization'
TENANT = b'tenant'
CONTENT_TYPE = b'content-type'
EVENT_STREAM = b'text/event-stream'
MISDIRECTED = 421

_MILLISECONDS = 1000
_CONNECTION_HEADERS = frozenset(
    (
        b'connection', b'content-length', b'keep-alive', b'proxy-connection',
        b'te', b'trailer', b'transfer-encoding', b'upgrade',
    )
)  # fmt: skip
# Headers by which the end of a body is known before its connection ends.
_BODY_ENDS = frozenset((b'content-length', b'transfer-encoding'))
# Headers that are set for each target instead of being passed on.
_REPLACED_HEADERS = frozenset(
    (DEADLINE_MS, LAST_EVENT_ID, EXPECT_INSTANCE, REQUEST_ID)
)
# Headers that are also set instead of being passed on if there are accounts.
_ACCOUNT_HEADERS = frozenset((AUTHORIZATION, TENANT))
_NO_BODY_METHODS = frozenset(('GET', 'HEAD', 'DELETE', 'OPTIONS'))


def read_call(
    method: str,
    path: bytes,
    headers: exchange.Headers,
    body: bytes,
) -> exchange.Call:
    """Decode a caller's request.

    :param path: path and query, as received
    :raises ValueError: if a header that must hold a number does not
    """
    found = {name.lower(): value for name, value in headers}
    deadline = found.get(DEADLINE_MS)
    resume = found.get(LAST_EVENT_ID)
    return exchange.Call(
        read_id(headers),
        method,
        found.get(b'host', b'').decode('latin-1'),
        path,
        [
            (name, value)
            for name, value in headers
            if name.lower() not in _CONNECTION_HEADERS
        ],
        body,
        _read_deadline(deadline) if deadline else None,
        _read_event_id(resume) if resume else None,
        found.get(RESUMES, b'').decode('latin-1'),
        read_prompt_parts(headers),
        accounts.read_key_digest(
            [value for name, value in headers if name.lower() == AUTHORIZATION]
        ),
        tokens=_read_tokens(found.get(TOKEN_USAGE, b'')),
    )


def read_id(headers: exchange.Headers) -> str:
    """Decode the id of a request; empty if it has none."""
    found = [value for name, value in headers if name.lower() == REQUEST_ID]
    return found[-1].decode('latin-1') if found else ''


def read_prompt_parts(headers: exchange.Headers) -> tuple[str, ...]:
    """Decode the ids of the parts of a prompt.

    A header that is missing or malformed names no parts.
    """
    for name, value in headers:
        if name.lower() == PROMPT_PREFIX:
            entries = value.decode('latin-1').lower().split(',')
            pairs = [entry.strip().partition(':') for entry in entries]
            if all(
                part and numerals.read_integer(tokens) is not None
                for part, _, tokens in pairs
            ):
                return tuple(part for part, _, _ in pairs)
    return ()


def item_headers(
    call: exchange.Call, headers: collections.abc.Mapping[str, str]
) -> list[tuple[str, str]]:
    """Return the headers with which an item of a job is stored.

    If there are accounts, they name the account, so that a host of any build
    sends it to the target with the item.

    :param call: the request that submits the job
    :param headers: headers that the caller gave the item
    """
    if not call.has_accounts:
        return list(headers.items())
    kept = [
        (name, value)
        for name, value in headers.items()
        if name.lower().encode('latin-1', 'replace') not in _ACCOUNT_HEADERS
    ]
    return [*kept, ('Tenant', call.account)] if call.account else kept


def read_account(
    headers: collections.abc.Iterable[tuple[str, str]],
) -> str:
    """Return the account that the stored headers of an item name.

    :returns: empty if there is not exactly one such header
    """
    found = [
        value
        for name, value in headers
        if name.lower().encode('latin-1', 'replace') == TENANT
    ]
    return found[0] if len(found) == 1 else ''


def encode(
    call: exchange.Call,
    target: blackboard.Target,
    seconds: float,
    resume_after: int | None,
) -> exchange.Headers:
    """Return the headers of a request to a target.

    :param seconds: time that is left for the request
    :param resume_after: id of the last event that an earlier run produced
    """
    replaced = _REPLACED_HEADERS | {b'host'}
    if call.has_accounts:
        replaced |= _ACCOUNT_HEADERS
    forwarded = [
        (name, value)
        for name, value in call.headers
        if name.lower() not in replaced
    ]
    headers = [
        (b'Host', call.host.encode('latin-1')),
        (b'Request-Id', call.id.encode('latin-1')),
        *forwarded,
        (b'Deadline-Ms', str(int(seconds * _MILLISECONDS)).encode()),
        (b'Expect-Instance', target.name.encode('latin-1')),
    ]
    if call.account:
        headers.append((b'Tenant', exchange.encode_name(call.account)))
    if resume_after is not None:
        headers.append((b'Last-Event-Id', str(resume_after).encode()))
    if call.body or call.method not in _NO_BODY_METHODS:
        headers.append((b'Content-Length', str(len(call.body)).encode()))
    return headers


def decode(
    call: exchange.Call, status: int, headers: exchange.Headers
) -> exchange.ResponseHead:
    """Decode the status and the headers of a server's answer.

    :param call: the request that was sent
    """
    found = {name.lower(): value for name, value in headers}
    # Refusals may lack a request id; they then count as the answer to the
    # request that was sent.
    echoed = found.get(REQUEST_ID)
    is_refusal = NOT_EXECUTED in found or status == MISDIRECTED
    is_for_request = (
        is_refusal if echoed is None else echoed == call.id.encode('latin-1')
    )
    return exchange.ResponseHead(
        status,
        [
            (name, value)
            for name, value in headers
            if name.lower() not in _CONNECTION_HEADERS
        ],
        not_run=is_refusal,
        is_misdirected=status == MISDIRECTED,
        is_for_request=is_for_request,
        is_stream=status == 200
        and found.get(CONTENT_TYPE, b'').startswith(EVENT_STREAM),
        is_leaving=found.get(SERVER_LEAVING) == b'1',
        rate_limits=tuple(
            _read_rate(value)
            for name, value in headers
            if name.lower() == SERVER_LIMIT
        ),
        states_end=not found.keys().isdisjoint(_BODY_ENDS),
    )


def _read_deadline(value: bytes) -> float:
    milliseconds = numerals.read_decimal(value)
    if milliseconds is None:
        raise ValueError(f'expected milliseconds, got {value!r}')
    return milliseconds / _MILLISECONDS


def _read_event_id(value: bytes) -> int:
    number = numerals.read_integer(value)
    if number is None:
        raise ValueError(f'expected the id of an event, got {value!r}')
    return number


def _read_tokens(value: bytes) -> int:
    counts = [
        numerals.read_integer(part.strip()) for part in value.split(b',')
    ]
    return sum(count for count in counts if count is not None)


def _read_rate(value: bytes) -> float:
    rate = numerals.read_decimal(value)
    return math.nan if rate is None else rate


WIRE = exchange.WirePort(
    encode, decode, read_prompt_parts, read_account, read_id
)
