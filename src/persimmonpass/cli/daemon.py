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
    help='Address for the other daemons.',
)
@click.option(
    '--seed-peer',
    type=settings.ADDRESS,
    multiple=True,
    help='Peer to ask for the others while the store is down; repeatable.',
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
    help='Address that callers are told, if not that of --listen.',
)
@click.option(
    '--peer-address',
    type=settings.ADDRESS,
    default=None,
    help='Address that peers are told, if not that of --peer-listen.',
)
@click.option(
    '--admin-token-sha256',
    type=settings.DIGEST,
    default='',
    help='Digest of a token that is always an admin.',
)
@click.option('--peer-secret', default='', help='Shared by all daemons.')
@click.option(
    '--tls-cert',
    type=PEM_FILE,
    default='',
    help='PEM file with the certificate of this host; all ports use TLS.',
)
@click.option(
    '--tls-key', type=PEM_FILE, default='', help='PEM file with its key.'
)
@click.option(
    '--tls-ca',
    type=PEM_FILE,
    default='',
    help='PEM file of authorities; peers must show a certificate of one.',
)
@click.option(
    '--store-rate',
    type=click.FloatRange(min=0, min_open=True),
    default=DEFAULTS['store_rate'],
    help='Reads of the store a second of the whole fleet.',
)
@click.option(
    '--store-write-rate',
    type=click.FloatRange(min=0, min_open=True),
    default=DEFAULTS['store_write_rate'],
    help='Writes to the store a second of the whole fleet.',
)
@click.option(
    '--model-loads',
    type=click.IntRange(min=1),
    default=DEFAULTS['model_loads'],
    help='Loads of one model at once in the whole fleet.',
)
@click.option(
    '--key-shards',
    type=click.IntRange(min=1),
    default=DEFAULTS['key_shards'],
    help='Ledgers for idempotency keys; the same on all hosts.',
)
@click.option(
    '--entry-ttl',
    type=settings.DURATION,
    default=DEFAULTS['entry_ttl_seconds'],
    help='How long callers may keep an entry answer.',
)
@click.option(
    '--drain-limit',
    type=settings.DURATION,
    default=DEFAULTS['drain_seconds'],
    help='Longest time that a shutdown waits.',
)
@click.option('--trace', type=settings.TRACE, default='')
@click.option('--log-file', type=click.Path(dir_okay=False), default='')
def command(**values: typing.Any) -> None:
    """Check the settings and run the daemon."""
    values['entry_ttl_seconds'] = values.pop('entry_ttl')
    values['seed_peers'] = values.pop('seed_peer')
    values['drain_seconds'] = values.pop('drain_limit')
    given = {name: value for name, value in values.items() if value}
    options = settings.Settings(**given)
    logs.open_log(options.log_file)
    anyio.run(_run, options)


def main() -> None:
    """Run the command; a wrong setting ends it with one line."""
    sys.exit(run_command(command, os.environ))


def run_command(
    made: click.Command, environment: collections.abc.Mapping[str, str]
) -> int:
    """Run a command and print a wrong setting as one line.

    :param environment: variables, of which none of ours may be unknown
    :returns: the exit status
    """
    context = click.Context(made)
    known = [
        f'{settings.PREFIX}_{parameter.name.upper()}'
        for parameter in made.get_params(context)
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
        made.main(standalone_mode=False)
    except click.ClickException as error:
        print(f'error: {error.format_message()}', file=sys.stderr)
        return EXIT_USAGE
    except exceptions.SettingsError as error:
        print(f'error: {error}', file=sys.stderr)
        return EXIT_USAGE
    return 0


async def _run(options: settings.Settings) -> None:
    try:
        made = daemon.Daemon(options)
    except OSError as error:
        raise exceptions.SettingsError(f'cannot listen: {error}') from error
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_drain_on_signal, made)
        await made.run()
        tasks.cancel_scope.cancel()


async def _drain_on_signal(made: daemon.Daemon) -> None:
    """Drain at the first signal and stop at the second."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            if not made.is_draining:
                made.drain()
            else:
                made.stop()
