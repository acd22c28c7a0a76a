"""Runs the daemon, the stand-ins and the command-line tool as processes."""

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
    """Poll a check until it returns a true value, and return that value.

    :raises TimeoutError: if it returned none within ``seconds``
    """
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        value = check()
        if value:
            return value
        time.sleep(POLL_SECONDS)
    raise TimeoutError(f'{check} was still false after {seconds} s')


class Program:
    """A running program of the package; its output goes to a file."""

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
        """Return the lines that the program has printed so far."""
        return pathlib.Path(self.output.name).read_text().splitlines()

    def send(self, number: int) -> None:
        """Send a signal to the process.

        :param number: signal number
        """
        self.process.send_signal(number)

    def close(self) -> None:
        """Kill the program if it is still running."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()
        self.output.close()


class Standin(Program):
    """A running stand-in.

    :ivar address: ``ip:port`` on which it listens
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
        """Set the fault switches; those not given are switched off."""
        CLIENT.post(
            f'http://{self.address}/control/faults', json=switches
        ).raise_for_status()


class Host(Program):
    """A running daemon.

    :ivar caller: base URL of the caller API
    :ivar peer: address of the peer listener
    :ivar operator: base URL of the operator API
    """

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
        """Return the log messages that the daemon has printed so far."""
        messages = []
        for line in self.lines():
            if line.startswith('{') and line.endswith('}'):
                messages.append(json.loads(line))
        return messages

    def find_event(self, name: str) -> dict[str, typing.Any] | None:
        """Return the first log message of an event, or ``None``."""
        for message in self.events():
            if message.get('message_type', '').endswith(' ' + name):
                return message
        return None

    def is_ready(self) -> bool:
        """Return whether the daemon is ready."""
        return CLIENT.get(f'{self.operator}/readyz').status_code == 200


class Fleet:
    """The stand-ins and daemons of a test.

    :ivar programs: all started programs in the order of their start
    :ivar links: forwarder to the peer listener of each host
    :ivar stores: forwarder from each host to the platform
    :ivar hosts: daemons in the order of their start
    """

    def __init__(
        self,
        zones: tuple[str, ...],
        *arguments: str,
        with_forwarders: bool = False,
    ) -> None:
        self.programs: list[Program] = []
        self.engines: dict[str, Standin] = {}
        self.services: dict[str, Standin] = {}
        self.platform = self._add(Standin('platform'))
        self._arguments = arguments
        self._with_forwarders = with_forwarders
        self.links: dict[str, forwarder.Forwarder] = {}
        self.stores: dict[str, forwarder.Forwarder] = {}
        self.hosts = [
            self.start_host(f'host-{index}', zone)
            for index, zone in enumerate(zones)
        ]

    def start_host(self, host: str, zone: str) -> Host:
        """Start a daemon, behind forwarders if the fleet has them."""
        store = self.platform.address
        arguments = list(self._arguments)
        if self._with_forwarders:
            store = self._forward(self.stores, host, store).address
            link = self._forward(self.links, host, '')
            arguments += ['--peer-address', link.address]
        url = f'http://{store}'
        daemon = self._add(Host(host, zone, '--store-url', url, *arguments))
        if self._with_forwarders:
            link.target = daemon.peer
        return daemon

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
        """Start an engine and add it to the platform's list of targets."""
        engine = self._add(
            Standin('engine', '--name', name, '--model', model, *arguments)
        )
        self.engines[name] = engine
        self.list_target(name, engine.address, 'engine', zone, model)
        return engine

    def start_service(self, name: str, zone: str, serves: str = '') -> Standin:
        """Start a plain service and add it to the list of targets."""
        plain = self._add(Standin('service', '--name', name))
        self.services[name] = plain
        self.list_target(name, plain.address, 'service', zone, serves or name)
        return plain

    def list_target(
        self,
        name: str,
        address: str,
        kind: str,
        zone: str,
        serves: str,
        state: str = 'live',
    ) -> None:
        """Add a target to the platform's list, or replace it.

        :param serves: model, ``model@version`` or service; what precedes
            ``@`` becomes the label ``serves``
        :param state: ``live``, ``leaving``, or ``gone`` to remove it
        """
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
        """Run the command-line tool against a host and wait for it to exit."""
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
        """Kill all programs and close all forwarders."""
        for program in reversed(self.programs):
            program.close()
        for link in [*self.links.values(), *self.stores.values()]:
            link.close()
