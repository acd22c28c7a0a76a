"""The platform's settings file, as settings of the product."""

import typing

import msgspec

from persimmonpass import exceptions
from persimmonpass import gateway_settings

PATH_VARIABLE = 'PERSIMMONPASS_SETTINGS'


class _Bounds(msgspec.Struct, rename='camel'):
    grace_s: float = 8.0
    ttl_max_s: float = msgspec.field(default=5.0, name='ttl_max_s')
    status_s: float = 120.0


class _Limits(msgspec.Struct, rename='camel'):
    # The share of one processor; the other says how much faster that one is
    # than usual, not how many there are.
    cpu_share: float = 0.0
    cores: float = 1.0


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
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)


def read(path: str) -> gateway_settings.Settings:
    """Read a settings file.

    :raises SettingsError: if the file is missing or a field is wrong
    """
    try:
        with open(path, 'rb') as file:
            found = msgspec.yaml.decode(file.read(), type=_File)
    except OSError as error:
        raise exceptions.SettingsError(f'{path}: {error.strerror}') from error
    except (msgspec.MsgspecError, ValueError) as error:
        detail = ' '.join(str(error).split())
        raise exceptions.SettingsError(f'{path}: {detail}') from error
    return _check(path, found)


def _check(path: str, found: _File) -> gateway_settings.Settings:
    if len(found.port_range) != 2:
        raise exceptions.SettingsError(
            f'{path}: portRange: two port numbers are needed'
        )
    peer_port, metrics_port = found.port_range[0], found.port_range[0] + 1
    if metrics_port > found.port_range[1]:
        raise exceptions.SettingsError(
            f'{path}: portRange: two ports or more are needed'
        )
    listen: typing.Mapping[str, str] = found.listen
    return gateway_settings.Settings(
        host=found.node_name,
        availability_zone=found.zone,
        store_address=found.platform.address,
        store_rate=found.platform.reads_per_s,
        store_write_rate=found.platform.writes_per_s,
        caller_listen=listen.get('front', ''),
        ready_listen=listen.get('ready', ''),
        entry_listen=listen.get('directory', ''),
        seed_listen=listen.get('control', ''),
        peer_listen=f'{found.ip}:{peer_port}',
        metrics_listen=f'{found.ip}:{metrics_port}',
        # Seeds name another port of each machine; all ports are the same
        # on all machines.
        seed_peers=tuple(
            f'{seed.rpartition(":")[0]}:{peer_port}'
            for seed in found.seeds
            if seed.rpartition(':')[0] != found.ip
        ),
        grace_seconds=found.bounds.grace_s,
        max_entry_ttl_seconds=found.bounds.ttl_max_s,
        job_status_seconds=found.bounds.status_s,
        cores=found.limits.cpu_share * found.limits.cores,
    )
