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
    help='Where to send spans: file:PATH or URL of an OTLP/HTTP collector.',
)
@click.pass_obj
def command(launch_state: programs.LaunchState, path: str, trace: str) -> None:
    """Read the settings and run the gateway."""
    options = settings.read(path)._replace(trace=trace)
    logs.open_sink()
    anyio.run(_run, path, options, launch_state)


def main(*launch_state: typing.Any) -> None:
    """Run the command; an invalid setting ends it with one line.

    :param launch_state: fields of :class:`programs.LaunchState`
    """
    programs.run(command, programs.LaunchState(*launch_state))


async def _run(
    path: str,
    options: gateway_settings.Settings,
    launch_state: programs.LaunchState,
) -> None:
    try:
        host_gateway = gateway.Gateway(
            options, ports.PORTS, launch_state.bound_sockets
        )
    except OSError as error:
        raise exceptions.SettingsError(f'cannot listen: {error}') from error
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(
            _handle_signals,
            host_gateway,
            path,
            options,
            launch_state.stop_signals,
        )
        tasks.start_soon(_watch_settings_file, path, options)
        await host_gateway.run()
        events.log(events.DAEMON_STOPPED, host=options.host)
        tasks.cancel_scope.cancel()


async def _handle_signals(
    host_gateway: gateway.Gateway,
    path: str,
    options: gateway_settings.Settings,
    stop_signals: collections.abc.Sequence[int],
) -> None:
    """Drain at SIGTERM or SIGINT, read the settings again at SIGHUP."""
    with anyio.open_signal_receiver(
        signal.SIGTERM, signal.SIGINT, signal.SIGHUP
    ) as signals:
        if stop_signals:
            host_gateway.drain()
        async for number in signals:
            if number == signal.SIGHUP:
                reload(path, options)
            else:
                host_gateway.drain()


async def _watch_settings_file(
    path: str, options: gateway_settings.Settings
) -> None:
    """Read the settings again whenever the file changes."""
    last_stamp = _read_stamp(path)
    while True:
        await anyio.sleep(SETTINGS_CHECK_SECONDS)
        stamp = _read_stamp(path)
        if stamp != last_stamp:
            last_stamp = stamp
            reload(path, options)


def _read_stamp(path: str) -> tuple[int, int] | None:
    try:
        status = os.stat(path)
    except OSError:
        # The file is being replaced; the next check finds the new one.
        return None
    return status.st_mtime_ns, status.st_size


def reload(path: str, options: gateway_settings.Settings) -> None:
    """Read the settings again and log what a restart would change.

    Nothing is applied, as the addresses and identity of a process can't
    change while it runs. An invalid file is only logged.
    """
    try:
        new_options = settings.read(path)
    except exceptions.SettingsError as error:
        events.log(
            events.SETTINGS_REJECTED, host=options.host, message=str(error)
        )
        return
    changed = [
        name
        for name, value in new_options._asdict().items()
        # Comes from the command line, not from the file.
        if name != 'trace' and value != getattr(options, name)
    ]
    events.log(events.SETTINGS_RELOADED, host=options.host, changed=changed)


if __name__ == '__main__':
    main()
