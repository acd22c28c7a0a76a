"""Settings of the daemon and the checks of their values."""

import collections.abc
import ipaddress
import re
import typing

import click
import result

from persimmonpass import numerals

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
_DURATION = re.compile(r'([0-9]{1,9}(?:\.[0-9]{1,9})?)(ms|s|m|h)')
Check = collections.abc.Callable[[str], result.Result[typing.Any, str]]

_UNIT_SECONDS = {'ms': 0.001, 's': 1.0, 'm': 60.0, 'h': 3600.0}


class Settings(typing.NamedTuple):
    """Settings of one daemon.

    :ivar host: this host's id
    :ivar listen: ``ip:port`` for callers; port 0 takes a free port
    :ivar peer_listen: ``ip:port`` for peers
    :ivar operator_listen: ``ip:port`` for operators and metrics
    :ivar caller_address: ``ip:port`` that is advertised to callers; empty
        for the address of ``listen``
    :ivar peer_address: ``ip:port`` that is advertised to peers; empty for
        the address of ``peer_listen``
    :ivar store_url: ``http://ip:port`` of the platform
    :ivar seed_peers: ``ip:port`` of the peers that are asked for members
        while the store does not answer
    :ivar admin_token_sha256: digest of a token that always has the role of
        an admin
    :ivar peer_secret: secret that all hosts of the fleet share
    :ivar tls_cert: PEM file with this host's certificate; empty for no TLS
    :ivar tls_key: PEM file with the private key of the certificate
    :ivar tls_ca: PEM file with the certificate authorities of the hosts'
        certificates; if it is set, peers must present a certificate
    :ivar store_rate: reads per second that the whole fleet may make of the
        store
    :ivar store_write_rate: writes per second that the whole fleet may make
    :ivar model_loads: loads of one model that may be in progress at once in
        the whole fleet
    :ivar key_shards: number of ledgers over which idempotency keys are
        distributed
    :ivar entry_ttl_seconds: how long callers may keep an entry answer
    :ivar drain_seconds: longest time that a drain may take
    :ivar trace: ``file:PATH`` or the URL of an OTLP/HTTP collector
    :ivar memory_mb: memory that the process may use, in megabytes; callers
        get a part of it
    :ivar max_descriptors: descriptors that the process may open
    :ivar max_body_bytes: size of the largest body of a request
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
    memory_mb: float = 512.0
    max_descriptors: int = 4096
    max_body_bytes: int = 4_000_000
    seed_peers: tuple[str, ...] = ()


class CheckedType(click.ParamType):
    """Type of a flag whose value is checked by a function.

    :ivar name: name of the value in the output of ``--help``
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
        """Return the checked value.

        Click also passes defaults, which are not text and need no check.
        """
        if not isinstance(value, str):
            return value
        checked = self._check(value)
        if isinstance(checked, result.Err):
            self.fail(checked.err_value, param, ctx)
        return checked.ok_value


def check_address(text: str) -> result.Result[str, str]:
    """Check an address ``ip:port``; host names are not allowed."""
    ip, _, port = text.rpartition(':')
    try:
        ipaddress.ip_address(ip.strip('[]'))
    except ValueError:
        return result.Err(f'expected ip:port with an IP address, got {text!r}')
    number = numerals.read_integer(port)
    if number is None or number > MAX_PORT:
        return result.Err(
            f'expected a port from 0 to {MAX_PORT}, got {text!r}'
        )
    return result.Ok(text)


def check_name(text: str) -> result.Result[str, str]:
    """Check the name of a host or an availability zone."""
    if _NAME.match(text):
        return result.Ok(text)
    return result.Err(
        'expected a name of lower-case letters, digits and inner hyphens, '
        f'got {text!r}'
    )


def check_duration(text: str) -> result.Result[float, str]:
    """Read a duration such as ``250ms``, ``5s``, ``2m`` or ``1h``.

    :returns: seconds
    """
    match = _DURATION.fullmatch(text)
    if match is None:
        return result.Err(
            f'expected a duration such as 250ms or 5s, got {text!r}'
        )
    return result.Ok(float(match[1]) * _UNIT_SECONDS[match[2]])


def check_url(text: str) -> result.Result[str, str]:
    """Check a URL ``http://ip:port``; host names are not allowed.

    :returns: the URL without a slash at its end
    """
    scheme, separator, address = text.partition('://')
    if scheme not in ('http', 'https') or not separator:
        return result.Err(f'expected http://ip:port, got {text!r}')
    checked = check_address(address.rstrip('/'))
    return checked.map(lambda _: text.rstrip('/'))


def check_digest(text: str) -> result.Result[str, str]:
    """Check a SHA-256 digest in hexadecimal digits; empty for none.

    The error does not repeat the text, which may be a secret.
    """
    if not text or re.fullmatch('[0-9a-f]{64}', text):
        return result.Ok(text)
    return result.Err(
        'expected a SHA-256 digest of 64 lower-case hexadecimal digits, '
        f'got {len(text)} characters'
    )


def check_trace(text: str) -> result.Result[str, str]:
    """Check the destination of spans: ``file:PATH`` or an HTTP URL."""
    if not text or text.startswith(('file:', 'http://', 'https://')):
        return result.Ok(text)
    return result.Err(f'expected file:PATH or an HTTP URL, got {text!r}')


ADDRESS = CheckedType('ip:port', check_address)
NAME = CheckedType('name', check_name)
DURATION = CheckedType('duration', check_duration)
URL = CheckedType('url', check_url)
DIGEST = CheckedType('sha256', check_digest)
TRACE = CheckedType('trace', check_trace)


def find_unknown_variables(
    environment: typing.Mapping[str, str], known: typing.Iterable[str]
) -> list[str]:
    """Return the variables with this package's prefix that no flag reads.

    They are most often misspelled settings.

    :param environment: environment of the process
    :param known: names of the variables that are read
    """
    known_names = set(known)
    prefixed = [name for name in environment if name.startswith(PREFIX + '_')]
    return sorted(name for name in prefixed if name not in known_names)
