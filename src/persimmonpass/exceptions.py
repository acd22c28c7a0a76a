"""Exceptions of this package.

They end a program or a connection. Operations that can fail in normal use
return a :class:`~persimmonpass.verdicts.Failure` instead of raising.
"""


class PersimmonpassError(Exception):
    """Base class of all exceptions of this package."""


class SettingsError(PersimmonpassError):
    """A flag, environment variable or settings file has an invalid value."""


class NotReadyError(PersimmonpassError):
    """The fleet or a job did not reach the expected state in time."""


class BrokenAnswerError(PersimmonpassError):
    """An answer failed after its start was sent; its connection is closed."""


class CallerStalledError(BrokenAnswerError):
    """The caller took no bytes of its answer for some time."""


class NotContinuedError(PersimmonpassError):
    """A target's answer does not go on where a broken stream ended."""
