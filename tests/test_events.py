"""The catalogue in the docs lists the events that the code has."""

import unittest

from tools import events_page

from persimmonpass import events


def all_events():
    """Return the events of the module by the names of their constants."""
    return {
        name: value
        for name, value in vars(events).items()
        if isinstance(value, events.Event)
    }


class TestEvents(unittest.TestCase):
    def test_catalogue(self):
        self.assertEqual(events_page.render(), events_page.PAGE.read_text())

    def test_numbers_are_unique(self):
        self.assertEqual(len(all_events()), len(events.CATALOGUE))
