"""Tests that events are unique, used, and listed in docs/events.md."""

import pathlib
import unittest

from persimmonpass import events
from tools import events_page


def all_events():
    """Return the events of the module by the name of their constant."""
    return {
        name: value
        for name, value in vars(events).items()
        if isinstance(value, events.Event)
    }


class TestEvents(unittest.TestCase):
    def test_page_matches_the_events(self):
        self.assertEqual(events_page.render(), events_page.PAGE.read_text())

    def test_numbers_are_unique(self):
        self.assertEqual(len(all_events()), len(events.CATALOGUE))

    def test_each_event_is_used(self):
        root = pathlib.Path(events.__file__).parent
        source = ''.join(path.read_text() for path in root.rglob('*.py'))
        unused = [
            name for name in all_events() if f'events.{name}' not in source
        ]
        self.assertEqual([], unused)
