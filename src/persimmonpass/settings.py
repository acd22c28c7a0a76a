"""Checked settings of the daemon."""

import collections.abc
import ipaddress
import re
import typing

import click
import result

PREFIX = 'PERSIMMONPASS'
MAX_PORT = 65535
TOOL_VARIABLES = (
    'PERSIMMONPASS_CALLER_URL',
    'PERSIMMONPASS_OPERATOR_URL',
    'PERSIMMONPASS_OUTPUT',
    'PERSIMMONPASS_TLS_CA',
    'PERSIMMONPASS_TOKEN',
)

_NAME = re.compile(r'^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$')
_DURATION = re.compile(r'^(\d+(?:\.\d+)?)(ms|s|m|h)$')
Check = collections.abc.Callable[[str], result.Result[typing.Any, str]]

_UNIT_SECONDS = {'ms': 0.001, 's': 1.0, 'm': 60.0, 'h': 3600.0}


class Settings(typing.NamedTuple):
    """Settings of one daemon.

    :ivar host: this host's id
    :ivar listen: ``ip:port`` for callers; port 0 takes a free one
    :ivar peer_listen: ``ip:port`` for peers
    :ivar operator_listen: ``ip:port`` for operators and metrics
    :ivar caller_address: ``ip:port`` that callers are told; empty for that
        of ``listen``
    :ivar peer_address: ``ip:port`` that peers are told; empty for that of
        ``peer_listen``
    :ivar store_url: ``http://ip:port`` of the platform
    :ivar seed_peers: peers' ``ip:port`` to ask while the store is down
    :ivar admin_token_sha256: digest of a token that is always an admin's
    :ivar peer_secret: secret that all hosts of the fleet share
    :ivar tls_cert: PEM file with this host's certificate; empty for no TLS
    :ivar tls_key: PEM file with its key
    :ivar tls_ca: PEM file with the authorities of the hosts' certificates;
        peers must then show one
    :ivar store_rate: reads of the store a second of the whole fleet
    :ivar store_write_rate: writes a second of the whole fleet
    :ivar model_loads: loads of one model in progress in the whole fleet
    :ivar key_shards: ledgers over which idempotency keys are spread
    :ivar entry_ttl_seconds: how long callers may keep an entry answer
    :ivar drain_seconds: longest time that a shutdown waits
    :ivar trace: ``file:PATH`` or the URL of an OTLP/HTTP collector
    :ivar log_file: file for the log; empty for standard error
    """

    host: str
    availability_zone: str
    store_url: str
    listen: str = '127.0.0.1:0'
    peer_listen: str = '127.0.0.1:0'
    operator_listen: str = '127.0.0.1:0'
    caller_address: str = ''
    peer_address: str = ''
    admin_token_sha256: str = ''
    peer_secret: str = ''
    tls_cert: str = ''
    tls_key: str = ''
    tls_ca: str = ''
    store_rate: float = 1000.0
    store_write_rate: float = 400.0
    model_loads: int = 4
    key_shards: int = 8
    entry_ttl_seconds: float = 5.0
    drain_seconds: float = 60.0
    trace: str = ''
    log_file: str = ''
    seed_peers: tuple[str, ...] = ()


class CheckedType(click.ParamType):
    """Type of a flag whose text a function checks.

    :ivar name: what ``--help`` calls the value
    """

    def __init__(self, name: str, check: Check) -> None:
        self.name = name
        self._check = check

    def convert(
        self,
        value: typing.Any,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> typing.Any:
        """Return the checked value; one that is no text was checked before."""
        if not isinstance(value, str):
            return value
        checked = self._check(value)
        if isinstance(checked, result.Err):
            self.fail(checked.err_value, param, ctx)
        return checked.ok_value


def check_address(text: str) -> result.Result[str, str]:
    """Check ``ip:port``, which has an IP number and not a host name."""
    ip, _, port = text.rpartition(':')
    try:
        ipaddress.ip_address(ip.strip('[]'))
    except ValueError:
        return result.Err(f'{text!r} is not ip:port with an IP number')
    if not port.isdecimal() or int(port) > MAX_PORT:
        return result.Err(f'{text!r} needs a port from 0 to {MAX_PORT}')
    return result.Ok(text)


def check_name(text: str) -> result.Result[str, str]:
    """Check the name of a host or an availability zone."""
    if _NAME.match(text):
        return result.Ok(text)
    return result.Err(
        f'{text!r} is not a name of lower-case letters, digits and inner '
        'hyphens'
    )


def check_duration(text: str) -> result.Result[float, str]:
    """Read a duration such as ``250ms``, ``5s``, ``2m`` or ``1h``.

    :returns: seconds
    """
    match = _DURATION.match(text)
    if match is None:
        return result.Err(f'{text!r} is not a duration such as 250ms or 5s')
    return result.Ok(float(match[1]) * _UNIT_SECONDS[match[2]])


def check_url(text: str) -> result.Result[str, str]:
    """Check ``http://ip:port``, which has an IP number."""
    scheme, separator, address = text.partition('://')
    if scheme not in ('http', 'https') or not separator:
        return result.Err(f'{text!r} is not http://ip:port')
    checked = check_address(address.rstrip('/'))
    return checked.map(lambda _: text.rstrip('/'))


def check_digest(text: str) -> result.Result[str, str]:
    """Check a SHA-256 in hexadecimal digits; empty for none."""
    if not text or re.fullmatch('[0-9a-f]{64}', text):
        return result.Ok(text)
    return result.Err('is not a SHA-256 in 64 hexadecimal digits')


def check_trace(text: str) -> result.Result[str, str]:
    """Check where spans go: ``file:PATH`` or an http URL."""
    if not text or text.startswith(('file:', 'http://', 'https://')):
        return result.Ok(text)
    return result.Err(f'{text!r} is neither file:PATH nor an http URL')


ADDRESS = CheckedType('ip:port', check_address)
NAME = CheckedType('name', check_name)
DURATION = CheckedType('duration', check_duration)
URL = CheckedType('url', check_url)
DIGEST = CheckedType('sha256', check_digest)
TRACE = CheckedType('trace', check_trace)


def find_unknown_variables(
    environment: typing.Mapping[str, str], known: typing.Iterable[str]
) -> list[str]:
    """Return the variables with our prefix that no flag reads.

    :param environment: environment of the process
    :param known: names of flags' variables
    """
    wanted = set(known)
    ours = [name for name in environment if name.startswith(PREFIX + '_')]
    return sorted(name for name in ours if name not in wanted)
