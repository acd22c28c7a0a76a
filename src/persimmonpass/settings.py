"""Checked settings of the daemon."""

import ipaddress
import re
import typing

import click

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
    :ivar data_dir: folder on a disk for bulk data, or empty
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
    data_dir: str = ''
    trace: str = ''
    log_file: str = ''
    seed_peers: tuple[str, ...] = ()


class AddressType(click.ParamType):
    """``ip:port`` with an IP number, not a host name."""

    name = 'ip:port'

    def convert(
        self,
        value: typing.Any,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> str:
        """Check an address."""
        ip, _, port = str(value).rpartition(':')
        try:
            ipaddress.ip_address(ip.strip('[]'))
        except ValueError:
            self.fail(f'{value!r} is not ip:port with an IP number')
        if not port.isdigit() or int(port) > MAX_PORT:
            self.fail(f'{value!r} needs a port from 0 to {MAX_PORT}')
        return str(value)


class NameType(click.ParamType):
    """Lower-case name of a host or an availability zone."""

    name = 'name'

    def convert(
        self,
        value: typing.Any,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> str:
        """Check a name."""
        if not _NAME.match(str(value)):
            self.fail(
                f'{value!r} is not a name of lower-case letters, digits and '
                'inner hyphens'
            )
        return str(value)


class DurationType(click.ParamType):
    """Duration such as ``250ms``, ``5s``, ``2m`` or ``1h``, in seconds."""

    name = 'duration'

    def convert(
        self,
        value: typing.Any,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> float:
        """Check a duration and return its seconds."""
        if isinstance(value, float):
            return value
        match = _DURATION.match(str(value))
        if match is None:
            self.fail(f'{value!r} is not a duration such as 250ms, 5s or 2m')
        return float(match[1]) * _UNIT_SECONDS[match[2]]


class UrlType(click.ParamType):
    """``http://ip:port`` with an IP number."""

    name = 'url'

    def convert(
        self,
        value: typing.Any,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> str:
        """Check a URL."""
        scheme, separator, address = str(value).partition('://')
        if scheme not in ('http', 'https') or not separator:
            self.fail(f'{value!r} is not http://ip:port')
        AddressType().convert(address.rstrip('/'), param, ctx)
        return str(value).rstrip('/')


class DigestType(click.ParamType):
    """SHA-256 in hexadecimal digits."""

    name = 'sha256'

    def convert(
        self,
        value: typing.Any,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> str:
        """Check a digest."""
        if value and not re.fullmatch('[0-9a-f]{64}', str(value)):
            self.fail('is not a SHA-256 in 64 hexadecimal digits')
        return str(value)


class TraceType(click.ParamType):
    """Where spans go: ``file:PATH`` or an http URL."""

    name = 'trace'

    def convert(
        self,
        value: typing.Any,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> str:
        """Check a destination of spans."""
        text = str(value)
        if text and not text.startswith(('file:', 'http://', 'https://')):
            self.fail(f'{value!r} is neither file:PATH nor an http URL')
        return text


def unknown_variables(
    environment: typing.Mapping[str, str], known: typing.Iterable[str]
) -> list[str]:
    """Return the variables with our prefix that no flag reads.

    :param environment: environment of the process
    :param known: names of flags' variables
    """
    wanted = set(known)
    ours = [name for name in environment if name.startswith(PREFIX + '_')]
    return sorted(name for name in ours if name not in wanted)
