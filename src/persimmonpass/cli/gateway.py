"""Command line of ``persimmonpass-gateway``."""

import collections.abc
import os
import signal
import typing

import anyio
import click

from persimmonpass.cli import programs
from persimmonpass import events
from persimmonpass import exceptions
from persimmonpass import gateway
from persimmonpass import gateway_settings
from persimmonpass import logs
from persimmonpass.platform import ports
from persimmonpass.platform import settings
from persimmonpass import settings as product_settings

SETTINGS_CHECK_SECONDS = 2.0


@click.command(help='Run one host of the fleet on the platform.')
@programs.settings_option
@click.option(
    '--trace',
    type=product_settings.TRACE,
    envvar='PERSIMMONPASS_TRACE',
    default='',
    help='Where spans go: file:PATH or the URL of an OTLP/HTTP collector.',
)
@click.pass_obj
def command(start: programs.Start, path: str, trace: str) -> None:
    """Read the settings and run the gateway."""
    options = settings.read(path)._replace(trace=trace)
    logs.open_sink()
    anyio.run(_run, path, options, start)


def main(*start: typing.Any) -> None:
    """Run the command; a wrong setting ends it with one line.

    :param start: the fields of :class:`programs.Start`
    """
    programs.run(command, programs.Start(*start))


async def _run(
    path: str, options: gateway_settings.Settings, start: programs.Start
) -> None:
    try:
        made = gateway.Gateway(options, ports.PORTS, start.bound)
    except OSError as error:
        raise exceptions.SettingsError(f'cannot listen: {error}') from error
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_take_signals, made, path, options, start.stops)
        tasks.start_soon(_follow_file, path, options)
        await made.run()
        events.log(events.DAEMON_STOPPED, host=options.host)
        tasks.cancel_scope.cancel()


async def _take_signals(
    made: gateway.Gateway,
    path: str,
    options: gateway_settings.Settings,
    stops: collections.abc.Sequence[int],
) -> None:
    """Drain at the first signal to stop, read settings again at SIGHUP."""
    with anyio.open_signal_receiver(
        signal.SIGTERM, signal.SIGINT, signal.SIGHUP
    ) as signals:
        if stops:
            made.drain()
        async for number in signals:
            if number == signal.SIGHUP:
                reload(path, options)
            else:
                made.drain()


async def _follow_file(path: str, options: gateway_settings.Settings) -> None:
    """Read the settings again when the file has changed."""
    seen = _stamp(path)
    while True:
        await anyio.sleep(SETTINGS_CHECK_SECONDS)
        found = _stamp(path)
        if found != seen:
            seen = found
            reload(path, options)


def _stamp(path: str) -> tuple[int, int] | None:
    try:
        status = os.stat(path)
    except OSError:
        # The file is being replaced; the next look finds the new one.
        return None
    return status.st_mtime_ns, status.st_size


def reload(path: str, options: gateway_settings.Settings) -> None:
    """Read the settings again and say what a restart would change.

    Addresses and identity hold until the process ends; a wrong file changes
    nothing.
    """
    try:
        found = settings.read(path)
    except exceptions.SettingsError as error:
        events.log(
            events.SETTINGS_REJECTED, host=options.host, message=str(error)
        )
        return
    changed = [
        name
        for name, value in found._asdict().items()
        # Spans go where the command line said.
        if name != 'trace' and value != getattr(options, name)
    ]
    events.log(events.SETTINGS_RELOADED, host=options.host, changed=changed)


if __name__ == '__main__':
    main()
