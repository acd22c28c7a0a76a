"""Command line of ``persimmonpassd``."""

import collections.abc
import os
import signal
import sys
import typing

import anyio
import click

from persimmonpass import daemon
from persimmonpass import exceptions
from persimmonpass import logs
from persimmonpass import settings

EXIT_USAGE = 2
PEM_FILE = click.Path(dir_okay=False)
DEFAULTS = settings.Settings._field_defaults


@click.command(
    context_settings={'auto_envvar_prefix': settings.PREFIX},
    help='Run one entry host. Each flag is also read from PERSIMMONPASS_*.',
)
@click.option('--host', type=settings.NAME, required=True)
@click.option('--availability-zone', type=settings.NAME, required=True)
@click.option('--store-url', type=settings.URL, required=True)
@click.option(
    '--listen',
    type=settings.ADDRESS,
    default=DEFAULTS['listen'],
    help='Address for callers.',
)
@click.option(
    '--peer-listen',
    type=settings.ADDRESS,
    default=DEFAULTS['peer_listen'],
    help='Address for the daemons of other hosts.',
)
@click.option(
    '--seed-peer',
    type=settings.ADDRESS,
    multiple=True,
    help='Peer to get the members from while the store is down; repeatable.',
)
@click.option(
    '--operator-listen',
    type=settings.ADDRESS,
    default=DEFAULTS['operator_listen'],
    help='Address for operators and metrics.',
)
@click.option(
    '--caller-address',
    type=settings.ADDRESS,
    default=None,
    help='Address to publish to callers; default: that of --listen.',
)
@click.option(
    '--peer-address',
    type=settings.ADDRESS,
    default=None,
    help='Address to publish to peers; default: that of --peer-listen.',
)
@click.option(
    '--admin-token-sha256',
    type=settings.DIGEST,
    default='',
    help='SHA-256 digest of a token that always has role admin.',
)
@click.option(
    '--peer-secret',
    default='',
    help='Secret that all daemons of the fleet share.',
)
@click.option(
    '--tls-cert',
    type=PEM_FILE,
    default='',
    help='PEM file with the certificate of this host; all ports use TLS.',
)
@click.option(
    '--tls-key',
    type=PEM_FILE,
    default='',
    help='PEM file with the private key.',
)
@click.option(
    '--tls-ca',
    type=PEM_FILE,
    default='',
    help='PEM file with CA certificates; peers must present a certificate '
    'that one of these CAs has signed.',
)
@click.option(
    '--store-rate',
    type=click.FloatRange(min=0, min_open=True),
    default=DEFAULTS['store_rate'],
    help='Limit of store reads per second for the whole fleet.',
)
@click.option(
    '--store-write-rate',
    type=click.FloatRange(min=0, min_open=True),
    default=DEFAULTS['store_write_rate'],
    help='Limit of store writes per second for the whole fleet.',
)
@click.option(
    '--model-loads',
    type=click.IntRange(min=1),
    default=DEFAULTS['model_loads'],
    help='Limit of concurrent loads of one model in the whole fleet.',
)
@click.option(
    '--key-shards',
    type=click.IntRange(min=1),
    default=DEFAULTS['key_shards'],
    help='Number of ledgers for idempotency keys; the same on all hosts.',
)
@click.option(
    '--entry-ttl',
    type=settings.DURATION,
    default=DEFAULTS['entry_ttl_seconds'],
    help='How long callers may cache an entry answer.',
)
@click.option(
    '--drain-limit',
    type=settings.DURATION,
    default=DEFAULTS['drain_seconds'],
    help='Longest time that a shutdown waits.',
)
@click.option(
    '--memory-mb',
    type=click.FloatRange(min=64),
    default=DEFAULTS['memory_mb'],
    help='Memory that the process may use; bounds what callers can hold.',
)
@click.option(
    '--max-descriptors',
    type=click.IntRange(min=64),
    default=DEFAULTS['max_descriptors'],
    help='Descriptors that the process may open; bounds the connections.',
)
@click.option(
    '--max-body-bytes',
    type=click.IntRange(min=1),
    default=DEFAULTS['max_body_bytes'],
    help='Largest body of a request; larger ones are answered with 413.',
)
@click.option('--trace', type=settings.TRACE, default='')
@click.option('--log-file', type=click.Path(dir_okay=False), default='')
def command(**values: typing.Any) -> None:
    """Check the settings and run the daemon."""
    values['entry_ttl_seconds'] = values.pop('entry_ttl')
    values['seed_peers'] = values.pop('seed_peer')
    values['drain_seconds'] = values.pop('drain_limit')
    options_set = {name: value for name, value in values.items() if value}
    options = settings.Settings(**options_set)
    logs.open_log(options.log_file)
    anyio.run(_run, options)


def main() -> None:
    """Run the command and exit with its status."""
    sys.exit(run_command(command, os.environ))


def run_command(
    daemon_command: click.Command,
    environment: collections.abc.Mapping[str, str],
) -> int:
    """Run a command and print an invalid setting as one line.

    :param environment: environment variables; an unknown one with the prefix
        of this package is an error
    :returns: exit status
    """
    context = click.Context(daemon_command)
    known = [
        f'{settings.PREFIX}_{parameter.name.upper()}'
        for parameter in daemon_command.get_params(context)
        if parameter.name
    ]
    try:
        known += settings.TOOL_VARIABLES
        unknown = settings.find_unknown_variables(environment, known)
        if unknown:
            names = ', '.join(unknown)
            raise exceptions.SettingsError(
                f'unknown environment variable {names}'
            )
        daemon_command.main(standalone_mode=False)
    except click.ClickException as error:
        print(f'error: {error.format_message()}', file=sys.stderr)
        return EXIT_USAGE
    except exceptions.SettingsError as error:
        print(f'error: {error}', file=sys.stderr)
        return EXIT_USAGE
    return 0


async def _run(options: settings.Settings) -> None:
    try:
        host_daemon = daemon.Daemon(options)
    except OSError as error:
        raise exceptions.SettingsError(f'cannot listen: {error}') from error
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_drain_on_signal, host_daemon)
        await host_daemon.run()
        tasks.cancel_scope.cancel()


async def _drain_on_signal(host_daemon: daemon.Daemon) -> None:
    """Drain at the first signal and stop at the second."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            if not host_daemon.is_draining:
                host_daemon.drain()
            else:
                host_daemon.stop()
