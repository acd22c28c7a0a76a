"""Serving system for online and batch inference on one shared fleet."""

from persimmonpass.exceptions import PersimmonpassError
from persimmonpass.verdicts import Failure
from persimmonpass.verdicts import Verdict

__all__ = ['Failure', 'PersimmonpassError', 'Verdict', '__version__']

__version__ = '0.1.0'
