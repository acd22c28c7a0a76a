"""Reads the platform's settings file into the settings of a gateway."""

import typing

import msgspec

from persimmonpass import exceptions
from persimmonpass import gateway_settings

PATH_VARIABLE = 'PERSIMMONPASS_SETTINGS'

_MILLISECONDS = 1000
_MEGABYTE = 1_000_000


class _Bounds(msgspec.Struct, rename='camel'):
    grace_s: float = 8.0
    ttl_max_s: float = msgspec.field(default=5.0, name='ttl_max_s')
    status_s: float = 120.0
    strict_revoke: bool = False
    revoke_ms: float = 5_000.0


class _Limits(msgspec.Struct, rename='camel'):
    """Limits of a process.

    :ivar cpu_share: share of one processor
    :ivar cores: speed of that processor relative to the usual one; it is
        not the number of processors
    :ivar memory_mb: memory in megabytes; 0 if it is not known
    :ivar max_fds: open descriptors; 0 if it is not known
    """

    cpu_share: float = 0.0
    cores: float = 1.0
    memory_mb: float = 0.0
    max_fds: int = 0


class _Platform(msgspec.Struct, rename='camel'):
    address: str
    writes_per_s: float = 400.0
    reads_per_s: float = 2_000.0


class _File(msgspec.Struct, rename='camel'):
    node_name: str
    zone: str
    ip: str
    platform: _Platform
    listen: dict[str, str] = {}
    port_range: list[int] = []
    seeds: list[str] = []
    bootstrap: bool = False
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)


def read(path: str) -> gateway_settings.Settings:
    """Read a settings file.

    :param path: path of the YAML file
    :raises SettingsError: if the file is missing or a field is invalid; the
        message is one line
    """
    try:
        with open(path, 'rb') as file:
            decoded = msgspec.yaml.decode(file.read(), type=_File)
    except OSError as error:
        raise exceptions.SettingsError(f'{path}: {error.strerror}') from error
    except (msgspec.MsgspecError, ValueError) as error:
        detail = ' '.join(str(error).split())
        raise exceptions.SettingsError(f'{path}: {detail}') from error
    return _to_settings(path, decoded)


def _to_settings(path: str, decoded: _File) -> gateway_settings.Settings:
    """Convert a decoded file.

    The first two ports of the range are those of peers and of metrics.
    """
    if len(decoded.port_range) != 2:
        raise exceptions.SettingsError(
            f'{path}: portRange: expected the first and the last port, got '
            f'{len(decoded.port_range)} numbers'
        )
    peer_port, metrics_port = decoded.port_range[0], decoded.port_range[0] + 1
    if metrics_port > decoded.port_range[1]:
        raise exceptions.SettingsError(
            f'{path}: portRange: expected at least two ports, got '
            f'{decoded.port_range[0]} to {decoded.port_range[1]}'
        )
    listen: typing.Mapping[str, str] = decoded.listen
    return gateway_settings.Settings(
        host=decoded.node_name,
        availability_zone=decoded.zone,
        store_address=decoded.platform.address,
        store_rate=decoded.platform.reads_per_s,
        store_write_rate=decoded.platform.writes_per_s,
        caller_listen=listen.get('front', ''),
        ready_listen=listen.get('ready', ''),
        entry_listen=listen.get('directory', ''),
        seed_listen=listen.get('control', ''),
        peer_listen=f'{decoded.ip}:{peer_port}',
        metrics_listen=f'{decoded.ip}:{metrics_port}',
        # Seeds are listed with another port of each machine. The peer port
        # is the same on all machines.
        seed_peers=tuple(
            f'{seed.rpartition(":")[0]}:{peer_port}'
            for seed in decoded.seeds
            if seed.rpartition(':')[0] != decoded.ip
        ),
        grace_seconds=decoded.bounds.grace_s,
        max_entry_ttl_seconds=decoded.bounds.ttl_max_s,
        job_status_seconds=decoded.bounds.status_s,
        cores=decoded.limits.cpu_share * decoded.limits.cores,
        memory_bytes=decoded.limits.memory_mb * _MEGABYTE,
        descriptors=decoded.limits.max_fds,
        strict_revocation=decoded.bounds.strict_revoke,
        revocation_seconds=decoded.bounds.revoke_ms / _MILLISECONDS,
        is_first_start=decoded.bootstrap,
    )
