"""Client accounts of a deployment: their keys and what targets see of them."""

import json
import unittest

import parameterized

from persimmonpass import accounts
from persimmonpass import exchange
from persimmonpass import objects as config_objects
from persimmonpass.platform import objects
from persimmonpass.platform import wire
from persimmonpass import records
from tests import platform_fakes

expand = parameterized.parameterized.expand

KEY = '92cqf75rjvz48wuakn2f'
OTHER_KEY = 'timaj3nr26tta828m82t'
TENANTS = [
    {'name': 'acme', 'apiKeys': [KEY], 'priority': 1},
    {'name': 'brook', 'apiKeys': [OTHER_KEY]},
]


def configuration(tenants=None, **terms):
    """Return a configuration with client accounts."""
    routes = [
        platform_fakes.route('/notes/'),
        platform_fakes.route('/open/', public=True),
        platform_fakes.route('/jobs/', 'batch', maxAttempts=3),
    ]
    return {
        **platform_fakes.configuration(routes=routes),
        'tenants': TENANTS if tenants is None else tenants,
        **terms,
    }


def read(tenants):
    """Return the decoded accounts of a configuration."""
    data = {'version': 1, 'tenants': tenants}
    record = records.Record('main', 1, data, {})
    return objects.read_configuration(record).client_accounts


class TestReadKey(unittest.TestCase):
    @expand(
        [
            ('valid', [b'Bearer ' + KEY.encode()], True),
            ('scheme in capitals', [b'BEARER ' + KEY.encode()], True),
            ('missing', [], False),
            ('doubled', [b'Bearer ' + KEY.encode()] * 2, False),
            ('other scheme', [b'Basic ' + KEY.encode()], False),
            ('no scheme', [KEY.encode()], False),
            ('empty', [b'Bearer '], False),
            ('empty value', [b''], False),
            ('blank within', [b'Bearer a b'], False),
            ('two blanks', [b'Bearer  ' + KEY.encode()], False),
            ('above 127', [b'Bearer caf\xe9'], False),
            ('control byte', [b'Bearer a\x01'], False),
            ('10 KB', [b'Bearer ' + b'k' * 10_240], False),
        ]
    )
    def test_read_key_digest(self, _, values, is_key):
        expected = config_objects.token_digest(KEY) if is_key else ''
        self.assertEqual(expected, accounts.read_key_digest(values))


class TestReadAccounts(unittest.TestCase):
    def test_no_tenants_means_no_accounts(self):
        record = records.Record('main', 1, {'version': 1}, {})
        found = objects.read_configuration(record)
        self.assertIsNone(found.client_accounts)

    def test_empty_tenants_means_that_no_key_is_valid(self):
        self.assertEqual(accounts.Accounts({}, {}), read([]))

    @expand(
        [
            ('both', {'ratePerS': 44, 'burst': 5}, (44.0, 5.0)),
            ('missing', {}, (0.0, 0.0)),
            ('zero', {'ratePerS': 0, 'burst': 0}, (0.0, 0.0)),
            ('negative', {'ratePerS': -3, 'burst': -1}, (0.0, 0.0)),
            ('text', {'ratePerS': 'many', 'burst': []}, (0.0, 0.0)),
            ('number as text', {'ratePerS': '2.5'}, (2.5, 0.0)),
            ('infinite', {'ratePerS': 'inf'}, (0.0, 0.0)),
            ('huge', {'ratePerS': 1e15, 'burst': 1e15}, (1e15, 1e15)),
        ]
    )
    def test_limits(self, _, terms, expected):
        found = read([{'name': 'acme', **terms}]).by_name['acme']
        self.assertEqual(expected, (found.rate_per_second, found.burst))

    def test_key_of_two_accounts_is_refused(self):
        found = read(
            [
                {'name': 'acme', 'apiKeys': [KEY, OTHER_KEY]},
                {'name': 'brook', 'apiKeys': [KEY]},
            ]
        )
        digest = config_objects.token_digest(OTHER_KEY)
        self.assertEqual([digest], list(found.by_key))

    @expand(
        [
            ('no keys', {'name': 'brook'}, ['acme', 'brook']),
            ('no name', {'apiKeys': ['x']}, ['acme']),
            ('no object', 7, ['acme']),
            ('malformed keys', {'name': 'brook', 'apiKeys': 3}, ['acme']),
        ]
    )
    def test_malformed_account_does_not_affect_the_others(
        self, _, row, expected
    ):
        found = read([{'name': 'acme', 'apiKeys': [KEY]}, row])
        self.assertEqual(expected, list(found.by_name))
        self.assertEqual(1, len(found.by_key))

    def test_kept_record_has_digests_and_means_the_same(self):
        data = {'version': 1, 'tenants': TENANTS}
        kept = objects.without_keys(data)
        self.assertNotIn(KEY, json.dumps(kept))
        self.assertEqual(read(TENANTS), read(kept['tenants']))
        self.assertEqual(kept, objects.without_keys(kept))


class TestWire(unittest.TestCase):
    def headers(self, has_accounts, account):
        call = exchange.Call(
            'r1',
            'POST',
            'notes.example',
            b'/',
            [
                (b'Authorization', b'Bearer ' + KEY.encode()),
                (b'Tenant', b'other'),
                (b'TENANT', b'third'),
            ],
            b'',
            account=account,
            has_accounts=has_accounts,
        )
        entry = {**platform_fakes.Server().entry(), 'address': '127.0.0.1:1'}
        target = objects.read_target(records.Record('i-1', 1, entry, {}))
        return [
            (name, value)
            for name, value in wire.encode(call, target, 1.0, None)
            if name.lower() in (b'authorization', b'tenant')
        ]

    def test_target_gets_the_account_and_no_key(self):
        self.assertEqual([(b'Tenant', b'acme')], self.headers(True, 'acme'))

    def test_public_request_names_no_account(self):
        self.assertEqual([], self.headers(True, ''))

    def test_headers_are_passed_on_without_accounts(self):
        self.assertEqual(3, len(self.headers(False, '')))


class TestGateway(unittest.TestCase):
    def test_requests_need_a_key(self):
        async def test():
            async with platform_fakes.fleet(
                count=1, config=configuration()
            ) as fleet:
                (server,) = fleet.servers
                for name, path, headers, status, account in (
                    ('valid', '/notes/1', {'Authorization': f'Bearer {KEY}'},
                     200, 'acme'),
                    ('forged', '/notes/1',
                     {'Authorization': f'Bearer {KEY}', 'TENANT': 'brook'},
                     200, 'acme'),
                    ('unknown', '/notes/1', {'Authorization': 'Bearer no'},
                     401, None),
                    ('missing', '/notes/1', {}, 401, None),
                    ('public', '/open/1', {'Tenant': 'brook'}, 200, ''),
                    ('public with key', '/open/1',
                     {'Authorization': f'Bearer {OTHER_KEY}'}, 200, 'brook'),
                    ('job', '/persimmonpass/lots/x', {}, 401, None),
                ):  # fmt: skip
                    with self.subTest(name):
                        server.headers = {}
                        answer = await fleet.post(path, **headers)
                        self.assertEqual(status, answer.status_code)
                        self.assertNotIn('authorization', server.headers)
                        if account is not None:
                            self.assertEqual(
                                account, server.headers.get('tenant', '')
                            )

        platform_fakes.run(test)


if __name__ == '__main__':
    unittest.main()
