"""Checks of the rules that don't need the inventory."""

from collections.abc import Collection, Iterator

from zinniaspool.core.deployment import ModelRule, Rules, ServiceRule, Share
from zinniaspool.core.ids import CustomerId
from zinniaspool.core.validation.problems import (
    Problem,
    ProblemFile,
    find_repeated,
    is_address,
    is_name,
)

__all__ = ["check_rules"]

_Path = tuple[str | int, ...]
_NAME_FORMAT = "a name of letters, digits, '-', '.', '_' and '~'"
"""Describes the accepted names to an operator."""


def check_rules(rules: Rules) -> list[Problem]:
    """Return the problems of rules."""
    customers = {rule.id for rule in rules.customers}
    problems = [*_check_customers(rules), *_check_weights(rules)]
    for position, model in enumerate(rules.models):
        problems += _check_model(("models", position), model, customers)
    for position, service in enumerate(rules.services):
        problems += _check_service(("services", position), service, customers)
    for kind, names in (
        ("models", [model.name for model in rules.models]),
        ("services", [service.name for service in rules.services]),
    ):
        problems += [
            _make_problem(
                (kind, repeated, "name"),
                f"{names[repeated]!r}, which {kind}[{first}] already has",
                "a name of its own for each",
            )
            for repeated, first in find_repeated(names)
        ]
    return problems


def _check_customers(rules: Rules) -> Iterator[Problem]:
    ids = [rule.id for rule in rules.customers]
    for position, name in enumerate(ids):
        if not is_name(name):
            yield _make_problem(("customers", position, "id"), repr(name), _NAME_FORMAT)
    for repeated, first in find_repeated(ids):
        found = f"{ids[repeated]!r}, which customers[{first}] already has"
        yield _make_problem(("customers", repeated, "id"), found, "each customer once")


def _check_weights(rules: Rules) -> Iterator[Problem]:
    repair = rules.repair
    for name in ("group_downtime", "stranded_accelerators"):
        value = getattr(repair, name)
        if value < 0:
            yield _make_problem(("repair", name), f"{value:g}", "0 or more")
    if repair.group_downtime == 0 and repair.stranded_accelerators == 0:
        yield _make_problem(("repair",), "both weights 0", "at least one above 0")
    if rules.weight_store_gb_per_s <= 0:
        found = f"{rules.weight_store_gb_per_s:g}"
        yield _make_problem(("weight_store_gb_per_s",), found, "more than 0")


def _check_model(
    path: _Path, model: ModelRule, customers: Collection[CustomerId]
) -> Iterator[Problem]:
    for name in ("name", "version"):
        if not is_name(getattr(model, name)):
            yield _make_problem((*path, name), repr(getattr(model, name)), _NAME_FORMAT)
    yield from _check_minimum(path, model, 1, "vms_per_group", "slots_per_group")
    yield from _check_minimum(path, model, 1, "wanted_groups", "weight")
    yield from _check_minimum(path, model, 0, "guaranteed_groups")
    if model.weights_gb <= 0:
        yield _make_problem(
            (*path, "weights_gb"), f"{model.weights_gb:g}", "more than 0"
        )
    if model.wanted_groups < model.guaranteed_groups:
        found = f"{model.wanted_groups}, fewer than guaranteed_groups"
        accepted = f"{model.guaranteed_groups} or more"
        yield _make_problem((*path, "wanted_groups"), found, accepted)
    capacity = model.guaranteed_groups * model.slots_per_group
    yield from _check_shares(
        path, model.shares, customers, capacity, "guaranteed_groups x slots_per_group"
    )


def _check_service(
    path: _Path, service: ServiceRule, customers: Collection[CustomerId]
) -> Iterator[Problem]:
    if not is_name(service.name):
        yield _make_problem((*path, "name"), repr(service.name), _NAME_FORMAT)
    yield from _check_minimum(path, service, 1, "slots_per_upstream")
    if not service.upstreams:
        yield _make_problem((*path, "upstreams"), "none", "at least one upstream")
    addresses = [upstream.address for upstream in service.upstreams]
    for position, address in enumerate(addresses):
        if not is_address(address):
            yield _make_problem(
                (*path, "upstreams", position, "address"),
                repr(address),
                'an IP address and a port, such as "10.0.0.1:8080"',
            )
    for repeated, first in find_repeated(addresses):
        found = f"{addresses[repeated]!r}, which upstreams[{first}] already has"
        yield _make_problem(
            (*path, "upstreams", repeated, "address"), found, "each address once"
        )
    for position, prefix in enumerate(service.non_idempotent):
        if prefix.startswith("/"):
            # Paths are compared without the prefix that names the service. A
            # leading slash would match no call, so that each call could run
            # twice.
            yield _make_problem(
                (*path, "non_idempotent", position),
                repr(prefix),
                repr(prefix.lstrip("/")),
            )
    capacity = len(service.upstreams) * service.slots_per_upstream
    yield from _check_shares(
        path, service.shares, customers, capacity, "upstreams x slots_per_upstream"
    )


def _check_shares(
    path: _Path,
    shares: tuple[Share, ...],
    customers: Collection[CustomerId],
    capacity: int,
    capacity_formula: str,
) -> Iterator[Problem]:
    path = (*path, "shares")
    if not shares:
        yield _make_problem(path, "none", "at least one customer's share")
    for position, share in enumerate(shares):
        yield from _check_minimum((*path, position), share, 0, "guaranteed")
        yield from _check_minimum((*path, position), share, 1, "weight")
        if share.customer not in customers:
            yield _make_problem(
                (*path, position, "customer"),
                f"{share.customer!r}, which customers does not list",
                f"one of {', '.join(sorted(customers)) or 'no customers yet'}",
            )
    for repeated, first in find_repeated(share.customer for share in shares):
        found = f"{shares[repeated].customer!r}, which shares[{first}] already has"
        yield _make_problem((*path, repeated, "customer"), found, "each customer once")
    guaranteed = sum(share.guaranteed for share in shares)
    if guaranteed > capacity:
        yield _make_problem(
            path,
            f"guarantees of {guaranteed} requests in all",
            f"{capacity} or fewer ({capacity_formula})",
        )


def _check_minimum(
    path: _Path, rule: object, minimum: int, *names: str
) -> Iterator[Problem]:
    for name in names:
        value = getattr(rule, name)
        if value < minimum:
            yield _make_problem((*path, name), str(value), f"{minimum} or more")


def _make_problem(path: _Path, found: str, accepted: str) -> Problem:
    return Problem(ProblemFile.RULES, path, found, accepted)
