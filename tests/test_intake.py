"""Limits on what all connections of callers hold together."""

import unittest

import parameterized

from persimmonpass import intake

expand = parameterized.parameterized.expand
KB = 1000
PART = 10 * KB
LIMITS = intake.Limits(100 * KB, 4)


class Callers:
    """Connections of a process with a clock that is set.

    :ivar aborted: numbers of the connections that were closed
    """

    def __init__(self, count=0):
        self.now = 0.0
        self.aborted = []
        self.intake = intake.Intake(LIMITS, lambda: self.now)
        self.opened = []
        for _ in range(count):
            self.open()

    def open(self):
        self.now += 1.0
        number = len(self.opened)
        self.opened.append(
            self.intake.open(lambda: self.aborted.append(number))
        )
        return self.opened[-1]

    def send(self, number, size):
        """Have bytes of a request arrive, which are parsed at once."""
        connection = self.opened[number]
        for start in range(0, size, PART):
            part = min(PART, size - start)
            connection.record_arrived(part)
            connection.record_parsed(part)


class TestBytes(unittest.TestCase):
    """Guards against callers that together hold more than each may."""

    @expand(
        [
            ('below the limit', [30, 30, 30], [], 90),
            ('largest first', [30, 50, 30], [1], 60),
            ('the one that sends', [10, 10, 90], [2], 20),
            ('as many as needed', [40, 40, 10, 90], [0, 3], 50),
        ]
    )
    def test_largest_are_closed(self, _, sizes, aborted, held):
        callers = Callers(len(sizes))
        for number, size in enumerate(sizes):
            callers.send(number, size * KB)
        self.assertEqual(aborted, callers.aborted)
        self.assertEqual(held * KB, callers.intake.held)

    def test_whole_requests_are_kept(self):
        callers = Callers(3)
        callers.send(0, 45 * KB)
        self.assertTrue(callers.opened[0].take_whole())
        callers.send(1, 30 * KB)
        callers.send(2, 30 * KB)
        self.assertEqual([1], callers.aborted)

    @expand(
        [
            ('first of any size', [], 90, 1, True),
            ('within the share', [30], 20, 1, True),
            ('beyond the share', [30], 21, 1, False),
            ('small', [50], 16, 1, True),
            ('copies', [30], 7, 3, False),
        ]
    )
    def test_share_of_whole_requests(self, _, before, size, copies, taken):
        callers = Callers(len(before) + 1)
        for number, each in enumerate(before):
            callers.send(number, each * KB)
            self.assertTrue(callers.opened[number].take_whole())
        callers.send(len(before), size * KB)
        self.assertEqual(taken, callers.opened[-1].take_whole(copies))

    def test_ended_requests_leave_room(self):
        callers = Callers(1)
        for _ in range(5):
            callers.send(0, 90 * KB)
            self.assertTrue(callers.opened[0].take_whole(2))
            callers.opened[0].finish_request()
        self.assertEqual(([], 0), (callers.aborted, callers.intake.held))

    def test_bytes_that_are_not_kept_do_not_count(self):
        callers = Callers(1)
        for _ in range(5):
            callers.send(0, 90 * KB)
            callers.opened[0].release(90 * KB)
        self.assertEqual(([], 0), (callers.aborted, callers.intake.held))

    def test_requests_sent_ahead_of_an_answer_count(self):
        callers = Callers(2)
        for connection in callers.opened:
            connection.record_arrived(KB)
            connection.record_parsed(KB)
            connection.take_whole()
        callers.opened[1].record_arrived(3 * KB)
        self.assertEqual([], callers.aborted)
        callers.opened[0].record_arrived(40 * KB)
        self.assertEqual([0], callers.aborted)

    def test_closed_connections_do_not_count(self):
        callers = Callers(2)
        callers.send(0, 40 * KB)
        callers.send(1, 61 * KB)
        callers.send(1, 30 * KB)
        callers.opened[1].close()
        self.assertEqual([1], callers.aborted)
        self.assertEqual(40 * KB, callers.intake.held)
        callers.opened[0].close()
        self.assertEqual(
            (0, 0), (callers.intake.held, callers.intake.open_count)
        )


class TestConnections(unittest.TestCase):
    """Guards against callers that use up the descriptors."""

    def test_the_one_that_is_unused_for_longest_is_closed(self):
        callers = Callers(4)
        callers.opened[0].take_whole()
        callers.now += 1.0
        callers.opened[1].finish_request()
        self.assertIsNotNone(callers.open())
        self.assertEqual([2], callers.aborted)

    @expand(
        [
            ('whole', lambda connection: connection.take_whole()),
            ('answered', lambda connection: connection.record_answer()),
        ]
    )
    def test_requests_in_progress_are_kept(self, _, begin):
        callers = Callers(4)
        for connection in callers.opened:
            begin(connection)
        self.assertIsNone(callers.open())
        self.assertEqual([], callers.aborted)


class TestLimits(unittest.TestCase):
    @expand(
        [
            ('smallest hosts', 128e6, 400, 12_800_000, 160),
            ('entry hosts', 300e6, 4200, 47_200_000, 1680),
            ('not known', 0, 0, 89_600_000, 1638),
            ('less than the base', 1e6, 4200, 4_800_000, 366),
        ]
    )
    def test_limits_of_a_process(self, _, memory, count, held, connections):
        self.assertEqual(
            intake.Limits(held, connections), intake.limits_for(memory, count)
        )


if __name__ == '__main__':
    unittest.main()
