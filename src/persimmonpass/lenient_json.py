"""Takes JSON texts apart of which a part cannot be decoded.

A decoder refuses a whole text for one value in it that is nested too deeply
or a number out of range. The functions here find the parts of a text without
decoding them, so that the others can be used.
"""

import re
import typing

import msgspec

_TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{},:]', re.DOTALL)


def split_array(data: bytes) -> list[bytes]:
    """Return the elements of an array, each as a text.

    :raises ValueError: if the text is no array
    """
    return [data[start:end] for start, _, end in _members(data, b'[]')]


def split_object(data: bytes) -> dict[str, bytes]:
    """Return the values of an object by key, each as a text.

    :raises ValueError: if the text is no object
    """
    found = {}
    for start, colon, end in _members(data, b'{}'):
        if colon is None:
            raise ValueError('expected a key with a value, got no colon')
        key = msgspec.json.decode(data[start:colon], type=str)
        found[key] = data[colon + 1 : end]
    return found


def is_deeper(value: typing.Any, depth: int) -> bool:
    """Return whether lists and mappings are nested deeper than a limit."""
    level = [value]
    for _ in range(depth):
        level = [
            child
            for node in level
            if isinstance(node, dict | list)
            for child in (node.values() if isinstance(node, dict) else node)
        ]
    return any(isinstance(node, dict | list) for node in level)


def _members(
    data: bytes, brackets: bytes
) -> list[tuple[int, int | None, int]]:
    """Return where the members of an array or an object are.

    :param brackets: the opening and the closing bracket
    :returns: start, first colon and end of each member
    """
    data_start = len(data) - len(data.lstrip())
    if data[data_start : data_start + 1] != brackets[:1]:
        raise ValueError(f'expected {brackets[:1]!r} at the start of a text')
    found: list[tuple[int, int | None, int]] = []
    depth = 0
    start = data_start + 1
    colon: int | None = None
    for token in _TOKEN.finditer(data, data_start):
        mark = token.group()
        if mark in (b'[', b'{'):
            depth += 1
        elif mark in (b']', b'}'):
            depth -= 1
        if depth == 1 and mark == b':' and colon is None:
            colon = token.start()
        if (depth == 1 and mark == b',') or not depth:
            end = token.start()
            if data[start:end].strip() or mark == b',':
                found.append((start, colon, end))
            start, colon = token.end(), None
        if not depth:
            if mark != brackets[1:] or data[token.end() :].strip():
                break
            return found
    raise ValueError(f'expected {brackets[1:]!r} at the end of a text')
