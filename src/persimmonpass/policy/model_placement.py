"""Decides which models each target is ordered to load or unload."""

import collections.abc
import typing

from persimmonpass.policy import selectors
from persimmonpass.policy import shards


class Rule(typing.NamedTuple):
    """A model and the targets to which a rule about it applies.

    :ivar model: ``model@version`` or ``model@version+adapter``
    :ivar selector: label selector of the targets
    """

    model: str
    selector: selectors.Selector


class TargetModels(typing.NamedTuple):
    """Models of a target that accepts load orders.

    :ivar name: name of the target
    :ivar loaded: models that are ready to serve
    """

    name: str
    labels: collections.abc.Mapping[str, str]
    loaded: frozenset[str]


class Rules(typing.NamedTuple):
    """Placement rules declared by operators.

    :ivar wanted: models that targets should have loaded
    :ivar used: models to which services send requests
    """

    wanted: tuple[Rule, ...]
    used: tuple[Rule, ...]


def full_name(model: str, version: str, adapter: str) -> str:
    """Return the name under which an engine reports a model."""
    name = f'{model}@{version}'
    return f'{name}+{adapter}' if adapter else name


def wanted_models(
    rules: collections.abc.Iterable[Rule],
    labels: collections.abc.Mapping[str, str],
) -> frozenset[str]:
    """Return the models that rules require at a target with these labels."""
    return frozenset(
        rule.model
        for rule in rules
        if selectors.matches(rule.selector, labels)
    )


def choose_models(
    target: TargetModels,
    others: collections.abc.Sequence[TargetModels],
    rules: Rules,
    max_loads: int,
) -> tuple[str, ...] | None:
    """Return all models that a target should be ordered to have loaded.

    A target to which no rule applies is left unchanged. Of the targets that
    lack a model only the first ``max_loads`` load it now. All hosts rank the
    targets equally, and the next target's turn comes only once one of these
    reports the model, so the loads in progress stay within the limit.

    :param others: the other targets that accept orders
    :param max_loads: maximum number of concurrent loads of one model in the
        whole fleet
    :returns: sorted models, or ``None`` if there is nothing to order
    """
    wanted = wanted_models(rules.wanted, target.labels)
    if not wanted:
        return None
    missing = wanted - target.loaded
    loads = {
        model
        for model in missing
        if _may_load(model, target, others, rules.wanted, max_loads)
    }
    kept = {
        model
        for model in target.loaded - wanted
        if _is_last_copy(model, target, others, rules)
    }
    chosen = (target.loaded & wanted) | loads | kept
    return None if chosen == target.loaded else tuple(sorted(chosen))


def _may_load(
    model: str,
    target: TargetModels,
    others: collections.abc.Iterable[TargetModels],
    wanted: collections.abc.Iterable[Rule],
    max_loads: int,
) -> bool:
    """Return whether a target is among the first ones that lack a model."""
    lacking = [target.name]
    for other in others:
        if model in wanted_models(wanted, other.labels) - other.loaded:
            lacking.append(other.name)
    return target.name in shards.ranked(model, lacking)[:max_loads]


def _is_last_copy(
    model: str,
    target: TargetModels,
    others: collections.abc.Iterable[TargetModels],
    rules: Rules,
) -> bool:
    """Return whether unloading would take a service's last ready copy.

    Only copies that will stay count: those that a rule requires, or, where
    no rule requires one, the copy at the first target by name. Coordinators
    that decide at the same time therefore do not rely on copies that the
    others are about to unload.
    """
    for used in rules.used:
        if used.model != model:
            continue
        if not selectors.matches(used.selector, target.labels):
            continue
        copies = [
            other
            for other in others
            if model in other.loaded
            and selectors.matches(used.selector, other.labels)
        ]
        stays = any(
            model in wanted_models(rules.wanted, other.labels)
            for other in copies
        )
        first = min([target.name, *(other.name for other in copies)])
        if not stays and first == target.name:
            return True
    return False
