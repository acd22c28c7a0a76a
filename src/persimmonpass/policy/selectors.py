"""Parses label selectors, such as ``model=pumpread,zone in (ruai,kasarani)``.

A selector is a conjunction of terms, each a condition on one label.
"""

import functools
import re
import typing

import result

_TERM = re.compile(
    r"""\s*(?P<key>[A-Za-z0-9][A-Za-z0-9._/-]*)\s*
    (?:(?P<op>!=|=)\s*(?P<value>[A-Za-z0-9._-]+)
    |\s(?P<set_op>in|notin)\s*\((?P<values>[^()]*)\))\s*(?:,|$)""",
    re.VERBOSE,
)
_VALUE = re.compile(r'^[A-Za-z0-9._-]+$')

CACHED_SELECTORS = 1024


class Term(typing.NamedTuple):
    """Condition on one label.

    :ivar key: name of the label
    :ivar is_included: ``True`` if the label's value must be one of
        ``values``, ``False`` if it must not
    """

    key: str
    values: tuple[str, ...]
    is_included: bool


Selector = tuple[Term, ...]


@functools.lru_cache(maxsize=CACHED_SELECTORS)
def parse(text: str) -> result.Result[Selector, str]:
    """Parse a selector.

    :param text: comma-separated terms ``key=value``, ``key!=value``,
        ``key in (a,b)`` or ``key notin (a,b)``; all must match
    :returns: the terms, or an error message that names the allowed syntax
    """
    terms = []
    position = 0
    while position < len(text.rstrip()):
        match = _TERM.match(text, position)
        if match is None:
            return result.Err(
                f'cannot read {text[position:]!r}; use key=value, key!=value, '
                'key in (a,b) or key notin (a,b)'
            )
        terms.append(_make_term(match))
        position = match.end()
    if not terms:
        return result.Err('is empty; use at least one key=value')
    for term in terms:
        if not all(_VALUE.match(value) for value in term.values):
            return result.Err(
                f'{term.key} has an empty or malformed value in '
                f'{term.values}; use letters, digits, ".", "_" and "-"'
            )
    return result.Ok(tuple(terms))


def _make_term(match: re.Match[str]) -> Term:
    if match['op']:
        return Term(match['key'], (match['value'],), match['op'] == '=')
    values = tuple(value.strip() for value in match['values'].split(','))
    return Term(match['key'], values, match['set_op'] == 'in')


def matches(selector: Selector, labels: typing.Mapping[str, str]) -> bool:
    """Return whether labels match every term of a selector."""
    return all(
        (labels.get(term.key) in term.values) == term.is_included
        for term in selector
    )
