"""Exceptions that stop a program; operations return failures instead."""


class PersimmonpassError(Exception):
    """Base of every exception of this package."""


class SettingsError(PersimmonpassError):
    """A flag or an environment variable has a value that is not allowed."""


class NotReadyError(PersimmonpassError):
    """A daemon could not reach a state in which it may serve."""


class BrokenAnswerError(PersimmonpassError):
    """An answer that has begun can't be finished; its connection closes."""
