"""Command line of ``persimmonpass-storage``."""

import collections.abc
import signal
import typing

import anyio
import click
import httpx

from persimmonpass import budget
from persimmonpass.cli import programs
from persimmonpass import events
from persimmonpass import gateway_settings
from persimmonpass import logs
from persimmonpass.platform import objects
from persimmonpass.platform import settings
from persimmonpass.platform import store
from persimmonpass import servers
from persimmonpass import storage_host
from persimmonpass.targets import pools


@click.command(help='Run one storage host of the fleet on the platform.')
@programs.settings_option
@click.pass_obj
def command(launch_state: programs.LaunchState, path: str) -> None:
    """Read the settings and run the storage host."""
    options = settings.read(path)
    logs.open_sink()
    anyio.run(_run, options, launch_state.stop_signals)


def main(*launch_state: typing.Any) -> None:
    """Run the command; an invalid setting ends it with one line.

    :param launch_state: fields of :class:`programs.LaunchState`; bound
        sockets are not used, as nothing connects to a storage host
    """
    programs.run(command, programs.LaunchState(*launch_state))


async def _run(
    options: gateway_settings.Settings,
    stop_signals: collections.abc.Sequence[int],
) -> None:
    calls = budget.Budget(options.store_rate, options.store_write_rate)
    async with (
        httpx.AsyncClient(
            trust_env=False, verify=pools.make_plain_http_context()
        ) as client,
        anyio.create_task_group() as tasks,
    ):
        port = store.connect(client, options.store_address, calls)
        ports = storage_host.RetirementPorts(
            port,
            objects.RETIREMENTS_KIND,
            objects.is_completed,
            objects.completed_status,
        )
        events.log(events.DAEMON_STARTED, host=options.host)

        async def run_host() -> None:
            await storage_host.run(options.host, ports)

        tasks.start_soon(servers.keep_running, run_host, options.host)
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as signals:
            while not stop_signals:
                if await anext(signals) != signal.SIGHUP:
                    break
        events.log(events.DAEMON_STOPPED, host=options.host)
        tasks.cancel_scope.cancel()


if __name__ == '__main__':
    main()
