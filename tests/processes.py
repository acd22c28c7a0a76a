"""Starts the three programs as processes for tests."""

import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import typing

import httpx

from persimmonpass import objects
from tests import forwarder

ROOT = pathlib.Path(__file__).resolve().parent.parent
BIN = pathlib.Path(sys.executable).parent
ADMIN_TOKEN = 'admin-token'  # noqa: S105
START_SECONDS = 20.0
POLL_SECONDS = 0.02
CLIENT = httpx.Client(trust_env=False, timeout=30.0)


def wait_until(
    check: typing.Callable[[], typing.Any], seconds: float = START_SECONDS
) -> typing.Any:
    """Return the first true value of a check.

    :raises TimeoutError: if there was none in time
    """
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        value = check()
        if value:
            return value
        time.sleep(POLL_SECONDS)
    raise TimeoutError(f'{check} stayed false for {seconds} s')


class Program:
    """A started program."""

    def __init__(self, name: str, *arguments: str) -> None:
        environment = {
            key: value
            for key, value in os.environ.items()
            if not key.startswith('PERSIMMONPASS_')
        }
        self.output = tempfile.NamedTemporaryFile('w+', suffix='.out')
        self.process = subprocess.Popen(
            [str(BIN / name), *arguments],
            stdout=self.output,
            stderr=subprocess.STDOUT,
            env={**environment, 'PYTHONUNBUFFERED': '1'},
        )

    def lines(self) -> list[str]:
        """Return what the program has printed."""
        return pathlib.Path(self.output.name).read_text().splitlines()

    def send(self, number: int) -> None:
        """Send a signal."""
        self.process.send_signal(number)

    def close(self) -> None:
        """Kill the program if it runs."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()
        self.output.close()


class Standin(Program):
    """A started stand-in.

    :ivar address: ``ip:port``
    """

    def __init__(self, *arguments: str) -> None:
        super().__init__('persimmonpass-standin', *arguments)
        line = wait_until(self._listening)
        self.address = line.split()[-1]

    def _listening(self) -> str | None:
        for line in self.lines():
            if line.startswith('listening on '):
                return line
        return None

    def set_faults(self, **switches: typing.Any) -> None:
        """Set the fault switches; those not named go back to none."""
        CLIENT.post(
            f'http://{self.address}/control/faults', json=switches
        ).raise_for_status()


class Host(Program):
    """A started daemon."""

    def __init__(self, host: str, zone: str, *arguments: str) -> None:
        super().__init__(
            'persimmonpassd',
            *('--host', host),
            *('--availability-zone', zone),
            *('--admin-token-sha256', objects.token_digest(ADMIN_TOKEN)),
            *('--entry-ttl', '500ms'),
            *arguments,
        )
        self.host = host
        started = wait_until(lambda: self.find_event('daemon_started'))
        self.caller = f'http://{started["caller"]}'
        self.peer = started['peer']
        self.operator = f'http://{started["operator"]}'

    def events(self) -> list[dict[str, typing.Any]]:
        """Return the log's messages."""
        found = []
        for line in self.lines():
            if line.startswith('{') and line.endswith('}'):
                found.append(json.loads(line))
        return found

    def find_event(self, name: str) -> dict[str, typing.Any] | None:
        """Return the first message of an event."""
        for message in self.events():
            if message.get('message_type', '').endswith(' ' + name):
                return message
        return None

    def is_ready(self) -> bool:
        """Return whether the daemon is ready."""
        return CLIENT.get(f'{self.operator}/readyz').status_code == 200


class Fleet:
    """Stand-ins and daemons of one test.

    :ivar hosts: daemons in the order of their start
    """

    def __init__(
        self, zones: tuple[str, ...], *arguments: str, cuttable: bool = False
    ) -> None:
        self.programs: list[Program] = []
        self.engines: dict[str, Standin] = {}
        self.services: dict[str, Standin] = {}
        self.platform = self._add(Standin('platform'))
        self._arguments = arguments
        self._cuttable = cuttable
        self.links: dict[str, forwarder.Forwarder] = {}
        self.stores: dict[str, forwarder.Forwarder] = {}
        self.hosts = [
            self.start_host(f'host-{index}', zone)
            for index, zone in enumerate(zones)
        ]

    def start_host(self, host: str, zone: str) -> Host:
        """Start a daemon, behind forwarders if the fleet is cuttable."""
        store = self.platform.address
        arguments = list(self._arguments)
        if self._cuttable:
            store = self._forward(self.stores, host, store).address
            link = self._forward(self.links, host, '')
            arguments += ['--peer-address', link.address]
        url = f'http://{store}'
        made = self._add(Host(host, zone, '--store-url', url, *arguments))
        if self._cuttable:
            link.target = made.peer
        return made

    def _forward(
        self,
        forwarders: dict[str, forwarder.Forwarder],
        host: str,
        target: str,
    ) -> forwarder.Forwarder:
        if host not in forwarders:
            forwarders[host] = forwarder.Forwarder(target)
        return forwarders[host]

    def start_engine(
        self, name: str, zone: str, model: str, *arguments: str
    ) -> Standin:
        """Start an engine and list it."""
        made = self._add(
            Standin('engine', '--name', name, '--model', model, *arguments)
        )
        self.engines[name] = made
        self.list_target(name, made.address, 'engine', zone, model)
        return made

    def start_service(self, name: str, zone: str, serves: str = '') -> Standin:
        """Start a plain service and list it."""
        made = self._add(Standin('service', '--name', name))
        self.services[name] = made
        self.list_target(name, made.address, 'service', zone, serves or name)
        return made

    def list_target(
        self,
        name: str,
        address: str,
        kind: str,
        zone: str,
        serves: str,
        state: str = 'live',
    ) -> None:
        """Put a target into the platform's list."""
        CLIENT.post(
            f'http://{self.platform.address}/control/targets',
            json={
                'name': name,
                'address': address,
                'kind': kind,
                'availability_zone': zone,
                'labels': {'serves': serves.partition('@')[0]},
                'state': state,
                'checks_fencing': True,
            },
        ).raise_for_status()

    def run_tool(
        self, *arguments: str, token: str = ADMIN_TOKEN, host: int = 0
    ) -> subprocess.CompletedProcess[str]:
        """Run the command-line tool."""
        return subprocess.run(
            [
                str(BIN / 'persimmonpass'),
                *('--operator-url', self.hosts[host].operator),
                *('--caller-url', self.hosts[host].caller),
                *('--token', token),
                *arguments,
            ],
            capture_output=True,
            text=True,
            timeout=60,
        )

    def wait_ready(self) -> None:
        """Wait until all daemons are ready and know each other."""
        for host in self.hosts:
            wait_until(host.is_ready)
            wait_until(lambda host=host: self._knows_all(host))

    def _knows_all(self, host: Host) -> bool:
        answer = CLIENT.get(f'{host.caller}/v1/entry')
        return len(answer.json()['addresses']) == len(self.hosts)

    def _add(self, program: typing.Any) -> typing.Any:
        self.programs.append(program)
        return program

    def close(self) -> None:
        """Kill everything that was started."""
        for program in reversed(self.programs):
            program.close()
        for each in [*self.links.values(), *self.stores.values()]:
            each.close()
