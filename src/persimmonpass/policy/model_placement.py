"""Decides which models a target should be ordered to have loaded."""

import collections.abc
import typing

from persimmonpass.policy import selectors
from persimmonpass.policy import shards


class Rule(typing.NamedTuple):
    """A model and the targets that it concerns.

    :ivar model: ``model@version`` or ``model@version+adapter``
    """

    model: str
    selector: selectors.Selector


class TargetModels(typing.NamedTuple):
    """A target that can take orders.

    :ivar loaded: models that it has ready
    """

    name: str
    labels: collections.abc.Mapping[str, str]
    loaded: frozenset[str]


class Rules(typing.NamedTuple):
    """What operators declared.

    :ivar wanted: models that targets should have loaded
    :ivar used: models that services send requests to
    """

    wanted: tuple[Rule, ...]
    used: tuple[Rule, ...]


def full_name(model: str, version: str, adapter: str) -> str:
    """Return the name under which an engine reports a model."""
    name = f'{model}@{version}'
    return f'{name}+{adapter}' if adapter else name


def wanted_at(
    rules: collections.abc.Iterable[Rule],
    labels: collections.abc.Mapping[str, str],
) -> frozenset[str]:
    """Return the models that rules name for a target with these labels."""
    return frozenset(
        rule.model
        for rule in rules
        if selectors.matches(rule.selector, labels)
    )


def choose_models(
    site: TargetModels,
    others: collections.abc.Sequence[TargetModels],
    rules: Rules,
    max_loads: int,
) -> tuple[str, ...] | None:
    """Return all models that a target should be ordered to have.

    A target that no rule names is left as it is. Of the targets that still
    have to load a model only the first ones load it now; all hosts see the
    same order, and a target makes place only once it reports the model, so
    that the loads in progress stay within the limit.

    :param others: the other targets that can take orders
    :param max_loads: loads of one model in progress in the whole fleet
    :returns: sorted models, or ``None`` if there is nothing to order
    """
    wanted = wanted_at(rules.wanted, site.labels)
    if not wanted:
        return None
    missing = wanted - site.loaded
    loads = {
        model
        for model in missing
        if _may_load(model, site, others, rules.wanted, max_loads)
    }
    kept = {
        model
        for model in site.loaded - wanted
        if _is_last_copy(model, site, others, rules)
    }
    chosen = (site.loaded & wanted) | loads | kept
    return None if chosen == site.loaded else tuple(sorted(chosen))


def _may_load(
    model: str,
    site: TargetModels,
    others: collections.abc.Iterable[TargetModels],
    wanted: collections.abc.Iterable[Rule],
    max_loads: int,
) -> bool:
    """Return whether a target is among the first that need a model."""
    needing = [site.name]
    for other in others:
        if model in wanted_at(wanted, other.labels) - other.loaded:
            needing.append(other.name)
    return site.name in shards.ranked(model, needing)[:max_loads]


def _is_last_copy(
    model: str,
    site: TargetModels,
    others: collections.abc.Iterable[TargetModels],
    rules: Rules,
) -> bool:
    """Return whether a service would lose its last ready copy of a model.

    Only a copy that will stay counts: one that a rule wants, or, where no
    copy is wanted, that of the first target by name. Coordinators that
    decide at the same moment therefore don't count on each other's copies.
    """
    for used in rules.used:
        if used.model != model:
            continue
        if not selectors.matches(used.selector, site.labels):
            continue
        holders = [
            other
            for other in others
            if model in other.loaded
            and selectors.matches(used.selector, other.labels)
        ]
        stays = any(
            model in wanted_at(rules.wanted, other.labels) for other in holders
        )
        first = min([site.name, *(other.name for other in holders)])
        if not stays and first == site.name:
            return True
    return False
