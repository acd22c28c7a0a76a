"""TLS on a daemon's ports, and reloads of replaced certificates."""

import contextlib
import os
import pathlib
import shutil
import socket
import ssl
import tempfile
import unittest

import anyio
import parameterized
import result
from starlette import applications

from persimmonpass import exceptions
from persimmonpass.peers import link
from persimmonpass.peers import listener
from persimmonpass import servers
from persimmonpass import tls
from tests import processes

CERTS = pathlib.Path(__file__).parent / 'certs'
SECRET = 'secret'
METHOD = 'test.echo'


def files(name, ca='fleet-ca'):
    return tls.PemFiles(
        str(CERTS / f'{name}.pem'),
        str(CERTS / f'{name}.key'),
        str(CERTS / f'{ca}.pem') if ca else '',
    )


def read_certificate_name(address):
    """Return the common name of the certificate on a new connection."""
    context = ssl.create_default_context(cafile=CERTS / 'fleet-ca.pem')
    host, _, port = address.rpartition(':')
    with socket.create_connection((host, int(port)), timeout=5) as raw:
        with context.wrap_socket(raw, server_hostname=host) as connection:
            subject = connection.getpeercert()['subject']
            return dict(row[0] for row in subject)['commonName']


class CertificateFolder:
    """A folder with the PEM files of one host, which a test replaces."""

    def __init__(self, stack):
        self.path = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )
        self.files = tls.PemFiles(
            str(self.path / 'cert'), str(self.path / 'key'), ''
        )
        self.put('host-a')

    def put(self, name, *parts):
        for part in parts or ('cert', 'key'):
            suffix = 'pem' if part == 'cert' else 'key'
            new = self.path / f'{part}.new'
            shutil.copy(CERTS / f'{name}.{suffix}', new)
            os.replace(new, self.path / part)


class TestReload(unittest.TestCase):
    """New connections use the files that were loaded last."""

    @parameterized.parameterized.expand(
        [
            ('both replaced', ['host-b'], 'host-b'),
            ('certificate only', ['host-b', 'cert'], 'host-a'),
            ('key only', ['host-b', 'key'], 'host-a'),
        ]
    )
    def test_reload(self, _, put, expected):
        async def main():
            with contextlib.ExitStack() as stack:
                folder = CertificateFolder(stack)
                contexts = tls.TlsContexts('h1', folder.files)
                bound = servers.listen('127.0.0.1:0')
                address = servers.address_of(bound)
                stopped = anyio.Event()
                async with anyio.create_task_group() as tasks:

                    async def serve():
                        await servers.serve_http(
                            applications.Starlette(),
                            bound,
                            stopped,
                            context=contexts.server,
                        )

                    tasks.start_soon(serve)
                    run_in_thread = anyio.to_thread.run_sync
                    self.assertEqual(
                        'host-a',
                        await run_in_thread(read_certificate_name, address),
                    )
                    folder.put(*put)
                    contexts.reload()
                    self.assertEqual(
                        expected,
                        await run_in_thread(read_certificate_name, address),
                    )
                    # After the other file is replaced too, both are loaded.
                    folder.put('host-b')
                    contexts.reload()
                    self.assertEqual(
                        'host-b',
                        await run_in_thread(read_certificate_name, address),
                    )
                    stopped.set()

        anyio.run(main)

    @parameterized.parameterized.expand(
        [
            ('missing', 'nobody', 'host-a'),
            ('other key', 'host-a', 'host-b'),
            ('no certificate', 'README', 'host-a'),
        ]
    )
    def test_bad_files_at_the_start(self, _, cert, key):
        pem_files = files('host-a')._replace(
            cert=str(CERTS / f'{cert}.pem'), key=str(CERTS / f'{key}.key')
        )
        with self.assertRaisesRegex(exceptions.SettingsError, '--tls-cert'):
            tls.TlsContexts('h1', pem_files)


class TestPeers(unittest.TestCase):
    """Which peers may connect, by certificate and shared secret."""

    @parameterized.parameterized.expand(
        [
            ('both', files('host-a'), files('host-b'), SECRET, True),
            ('no secret', files('host-a'), files('host-b'), '', False),
            (
                'caller of another authority',
                files('host-a'),
                files('stranger', 'fleet-ca'),
                SECRET,
                False,
            ),
            (
                'server of another authority',
                files('stranger', 'fleet-ca'),
                files('host-a'),
                SECRET,
                False,
            ),
            ('caller without TLS', files('host-a'), None, SECRET, False),
            ('server without TLS', None, files('host-b'), SECRET, False),
            ('neither', None, None, SECRET, True),
        ]
    )
    def test_link(self, _, server, client, secret, allowed):
        async def echo(peer, payload):
            return result.Ok([peer, payload])

        async def main():
            bound = [servers.listen('127.0.0.1:0') for _ in range(2)]
            address = servers.address_of(bound[0])
            first = link.Peers(
                listener.Identity('one', SECRET),
                {METHOD: echo},
                tls.TlsContexts('one', server) if server else None,
            )
            second = link.Peers(
                listener.Identity('two', secret),
                {METHOD: echo},
                tls.TlsContexts('two', client) if client else None,
            )
            async with anyio.create_task_group() as tasks:
                await tasks.start(first.serve, bound[0])
                await tasks.start(second.serve, bound[1])
                second.update_links({'one': address}, ['one'])
                done = result.Err(None)
                with anyio.move_on_after(10 if allowed else 2):
                    while done.is_err():
                        done = await second.port.call('one', METHOD, 1, 1.0)
                        await anyio.sleep(0.05)
                self.assertEqual(allowed, done.is_ok())
                if allowed:
                    self.assertEqual(['two', 1], done.ok_value)
                tasks.cancel_scope.cancel()

        anyio.run(main)


class TestDaemons(unittest.TestCase):
    """Two daemons and the tool, with TLS on all connections."""

    def test_fleet(self):
        fleet = processes.Fleet(())
        self.addCleanup(fleet.close)
        for name in ('host-a', 'host-b'):
            pem_files = files(name)
            host = processes.Host(
                name,
                'ruai',
                *('--store-url', f'http://{fleet.platform.address}'),
                *('--peer-secret', SECRET),
                *('--tls-cert', pem_files.cert, '--tls-key', pem_files.key),
                *('--tls-ca', pem_files.ca),
            )
            fleet.programs.append(host)
            fleet.hosts.append(host)
        ca = str(CERTS / 'fleet-ca.pem')

        def run_tool(*arguments, scheme='https'):
            host = fleet.hosts[0]
            host.operator = f'{scheme}://{host.operator.partition("://")[2]}'
            return fleet.run_tool(*arguments)

        def sees_both_hosts():
            done = run_tool('--tls-ca', ca, 'status')
            rows = done.stdout.splitlines()
            return sum('alive' in row for row in rows) == 2

        processes.wait_until(sees_both_hosts)
        for host in fleet.hosts:
            for address in (host.operator, host.caller):
                shown = read_certificate_name(address.partition('://')[2])
                self.assertEqual(host.host, shown)
        other = str(CERTS / 'other-ca.pem')
        for arguments, scheme in (
            (['status'], 'https'),
            (['--tls-ca', other, 'status'], 'https'),
            (['status'], 'http'),
        ):
            done = run_tool(*arguments, scheme=scheme)
            self.assertEqual(1, done.returncode, done.stdout)
            self.assertNotIn('Traceback', done.stderr)
