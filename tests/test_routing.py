"""Tests the policies for routing, limits, retries, health and quarantine."""

import collections
import random
import unittest

import parameterized

from persimmonpass.policy import admission
from persimmonpass.policy import health
from persimmonpass.policy import prefixes
from persimmonpass.policy import quarantine
from persimmonpass.policy import retry
from persimmonpass.policy import routing
from persimmonpass.standins import engine

HOSTS = 4
TARGETS = 20
REQUESTS = 6_000
ZONES = ('ruai', 'kasarani', 'embakasi')


def candidate(name, zone='ruai', work=0, cached=0):
    return routing.Candidate(name, zone, work, cached)


class TestChoose(unittest.TestCase):
    """The cheapest of the randomly chosen candidates is chosen."""

    @parameterized.parameterized.expand(
        [
            ('none', [], None),
            ('idle', [candidate('a', work=5), candidate('b')], 'b'),
            ('near', [candidate('a', 'kasarani'), candidate('b')], 'b'),
            (
                'far but idle',
                [candidate('a', 'x'), candidate('b', work=3)],
                'a',
            ),
            ('cached', [candidate('a'), candidate('b', cached=9)], 'b'),
            (
                'cached but busy',
                [candidate('a'), candidate('b', work=9, cached=9)],
                'a',
            ),
        ]
    )
    def test_choice(self, name, candidates, expected):
        draws = iter([0, 1, 0])
        chosen = routing.choose(
            candidates, 'ruai', lambda limit: next(draws) % limit
        )
        self.assertEqual(expected, chosen)

    @parameterized.parameterized.expand(
        [
            ('own requests since', 4, 4, 6, 6),
            ('work of others', 9, 4, 6, 11),
            ('report too old', 2, 4, 6, 6),
            ('finished since', 4, 4, 1, 1),
        ]
    )
    def test_estimate(self, name, reported, then, now, expected):
        estimate = routing.estimate_work(reported, then, now)
        self.assertEqual(expected, estimate)


def p99_work(choose, seed):
    """Return the 99th percentile of a target's load when a request arrives.

    Several hosts route by old reports and know only their own requests.
    """
    draws = random.Random(seed)
    work = collections.Counter()
    reports = collections.Counter()
    own = [collections.Counter() for _ in range(HOSTS)]
    then = [collections.Counter() for _ in range(HOSTS)]
    running = []
    loads_on_arrival = []
    for step in range(REQUESTS):
        while running and running[0][0] <= step:
            _, host, name = running.pop(0)
            work[name] -= 1
            own[host][name] -= 1
        if step % 60 == 0:
            reports = work.copy()
            then = [counter.copy() for counter in own]
        host = draws.randrange(HOSTS)
        candidates = [
            candidate(
                str(index),
                ZONES[index % 3],
                routing.estimate_work(
                    reports[str(index)],
                    then[host][str(index)],
                    own[host][str(index)],
                ),
            )
            for index in range(TARGETS)
        ]
        name = choose(candidates, ZONES[host % 3], draws.randrange)
        loads_on_arrival.append(work[name])
        work[name] += 1
        own[host][name] += 1
        running.append((step + 100, host, name))
    return sorted(loads_on_arrival)[int(len(loads_on_arrival) * 0.99)]


def choose_random(candidates, zone, draw):
    return candidates[draw(len(candidates))].name


def choose_least(candidates, zone, draw):
    return min(candidates, key=lambda row: row.work).name


class TestSimulation(unittest.TestCase):
    """The policy is no worse than random or least-loaded routing.

    With old reports all hosts would send to the same least loaded target.
    """

    @parameterized.parameterized.expand([(seed,) for seed in range(3)])
    def test_p99_work(self, seed):
        policy = p99_work(routing.choose, seed)
        self.assertLessEqual(policy, p99_work(choose_random, seed))
        self.assertLessEqual(policy, p99_work(choose_least, seed))


class TestPrefixes(unittest.TestCase):
    """Caches are estimated from sent requests and incomplete events."""

    def test_hashes_match_the_engine(self):
        prompt = 'pump station seven, ' * 40
        self.assertEqual(
            engine.prefix_blocks(prompt), prefixes.hash_blocks(prompt)
        )

    def test_gap_and_eviction(self):
        blocks = prefixes.hash_blocks('pump ' * 100)
        cache = prefixes.PrefixCache()
        cache.add(blocks[3:5])
        self.assertEqual(5, cache.count_leading(blocks))
        cache.remove(blocks[4])
        self.assertEqual(4, cache.count_leading(blocks))
        self.assertEqual(0, cache.count_leading(blocks[:3]))

    def test_bound(self):
        cache = prefixes.PrefixCache()
        cache.add(range(prefixes.MAX_BLOCKS + 5))
        self.assertEqual(prefixes.MAX_BLOCKS, len(cache))
        self.assertEqual(0, cache.count_leading([4]))


class TestHealth(unittest.TestCase):
    """Ejection is bounded and gets longer with each failure."""

    @parameterized.parameterized.expand(
        [(1, 1, 0), (2, 1, 1), (2, 2, 1), (4, 3, 2), (6, 1, 1), (0, 0, 0)]
    )
    def test_share(self, count, failed, ejected):
        names = [f't{index}' for index in range(count)]
        healths = {
            name: health.on_failure(health.TargetHealth(), 0.0)
            for name in names[:failed]
        }
        self.assertEqual(count - ejected, len(health.usable(names, healths)))

    def test_refusing_targets_do_not_count(self):
        """Three of five targets refuse connections, one of the rest failed.

        One of the two reachable targets may be ejected.
        """
        names = [f't{index}' for index in range(5)]
        healthy = health.TargetHealth()
        healths = {
            name: health.on_failure(healthy, 0.0, refused=True)
            for name in names[:3]
        }
        healths['t3'] = health.on_failure(healthy, 0.0)
        self.assertEqual({'t4'}, health.usable(names, healths))

    def test_wait_grows_until_a_request_succeeds(self):
        state = health.TargetHealth()
        waits = []
        for _ in range(12):
            state = health.on_failure(state, 0.0)
            waits.append(state.probe_time)
            state = health.on_probe_success(state)
            self.assertFalse(state.ejected)
        self.assertEqual(sorted(waits), waits)
        self.assertEqual(health.MAX_PROBE_SECONDS, waits[-1])
        self.assertEqual(health.FIRST_PROBE_SECONDS, waits[0])


class TestLimits(unittest.TestCase):
    """Token buckets, deadlines, retry budgets and quarantine."""

    def test_bucket(self):
        bucket = admission.Bucket(2, 0.0)
        waits = []
        for now in (0.0, 0.0, 0.0, 0.25, 0.5, 9.0, 9.0, 9.0):
            bucket, wait = admission.take_token(bucket, now, 2.0, 2)
            waits.append(wait)
        self.assertEqual([0, 0, 0.5, 0.25, 0, 0, 0, 0.5], waits)

    @parameterized.parameterized.expand(
        [
            ('free', (0, 0, 1, 1.0), 2.0, True),
            ('too long itself', (0, 0, 1, 3.0), 2.0, False),
            ('queue in time', (1, 0, 1, 1.0), 2.1, True),
            ('queue too long', (1, 1, 1, 1.0), 2.1, False),
            ('many servers', (4, 3, 4, 1.0), 2.1, True),
        ]
    )
    def test_deadline(self, name, load, left, expected):
        meets = admission.meets_deadline(admission.Load(*load), left)
        self.assertEqual(expected, meets)

    def test_retry_share(self):
        budget = retry.RetryBudget()
        sent = 0
        for _ in range(1_000):
            budget = retry.earn(budget)
            left = retry.spend(budget)
            if left is not None:
                budget = left
                sent += 1
        allowed = 1_000 * retry.RETRY_SHARE + retry.FIRST_TOKENS
        self.assertLessEqual(sent, allowed)
        self.assertGreaterEqual(sent, allowed - 1)

    @parameterized.parameterized.expand(
        [
            ('one crash', [('a', True)], False),
            ('two crashes beside others', [('a', False), ('b', False)], False),
            ('alone at the second', [('a', False), ('b', True)], True),
            ('alone at the first', [('a', True), ('b', False)], True),
            ('same target', [('a', True), ('a', True)], False),
        ]
    )
    def test_quarantine(self, name, crashes, expected):
        record = quarantine.CrashRecord()
        for target, alone in crashes:
            record = quarantine.on_crash(record, target, alone)
        self.assertEqual(expected, quarantine.is_quarantined(record))
