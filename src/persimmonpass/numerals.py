"""Reads numbers that others send as text.

Python's own conversions also take signs, underscores, blanks, prefixes, digits
of other scripts and numbers that no field of a message can hold. Formats that
define a number as a series of digits allow none of these.
"""

import re

# Numbers are stored and exchanged as 64-bit integers.
MAX_INTEGER = 2**63 - 1
_INTEGER = re.compile('[0-9]{1,20}')
_HEXADECIMAL = re.compile('[0-9A-Fa-f]{1,20}')
_DECIMAL = re.compile(r'[0-9]{1,20}(?:\.[0-9]{0,20})?')


def read_integer(text: str | bytes) -> int | None:
    """Return an integer of at least 0.

    :param text: decimal digits
    :returns: ``None`` for anything else, or if it is above ``MAX_INTEGER``
    """
    return _read(_INTEGER, text, 10)


def read_hexadecimal(text: str | bytes) -> int | None:
    """Return an integer of at least 0.

    :param text: hexadecimal digits without a prefix
    :returns: ``None`` for anything else, or if it is above ``MAX_INTEGER``
    """
    return _read(_HEXADECIMAL, text, 16)


def read_decimal(text: str | bytes) -> float | None:
    """Return a finite number of at least 0.

    :param text: decimal digits, and a fraction if there is one
    :returns: ``None`` for anything else
    """
    decoded = _decode(text)
    return float(decoded) if _DECIMAL.fullmatch(decoded) else None


def _read(form: re.Pattern[str], text: str | bytes, base: int) -> int | None:
    decoded = _decode(text)
    if not form.fullmatch(decoded):
        return None
    number = int(decoded, base)
    return number if number <= MAX_INTEGER else None


def _decode(text: str | bytes) -> str:
    return text.decode('latin-1') if isinstance(text, bytes) else text
