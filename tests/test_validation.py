"""Validation of inventory and rules: problems, their paths and remedies."""

from dataclasses import replace
from typing import Any

import pytest

from zinniaspool.core.deployment import (
    Configuration,
    CustomerRule,
    Inventory,
    ModelRule,
    RepairWeights,
    Rules,
    ServiceRule,
    ServiceUpstream,
    Share,
    Vm,
)
from zinniaspool.core.ids import (
    Address,
    CustomerId,
    FabricDomainId,
    FailureDomainId,
    ModelName,
    ModelVersion,
    ServiceName,
    VmId,
)
from zinniaspool.core.validation import validate_configuration

_CARE, _RIVAL = CustomerId("care"), CustomerId("rival")


def _vm(number: int, domain: str = "f0", owner: CustomerId = _CARE) -> Vm:
    address = Address(f"10.0.0.{number}:80")
    failure_domain = FailureDomainId(f"of-{domain}")
    fabric_domain = FabricDomainId(domain)
    return Vm(VmId(f"vm{number}"), address, failure_domain, fabric_domain, 8, owner)


def _model(name: str = "m", *customers: CustomerId, **changes: Any) -> ModelRule:
    shares = tuple(Share(customer, 2) for customer in customers or (_CARE,))
    rule = ModelRule(ModelName(name), ModelVersion("1"), 2, 1, 1, 4, shares)
    return replace(rule, **changes)


_SERVICE = ServiceRule(
    ServiceName("s"),
    (ServiceUpstream(Address("10.0.9.1:80"), FailureDomainId("d")),),
    4,
    (Share(_CARE, 4),),
    ("send",),
)


def _configure(vms: Any = None, **changes: Any) -> Configuration:
    rules = Rules(
        (CustomerRule(_CARE, (_CARE,)), CustomerRule(_RIVAL, (_RIVAL,))),
        (_model(),),
        (_SERVICE,),
        RepairWeights(1.0, 0.0),
    )
    inventory_vms = vms or (_vm(1), _vm(2), _vm(3, "f1"), _vm(4, "f1", _RIVAL))
    return Configuration(Inventory(tuple(inventory_vms)), replace(rules, **changes))


def test_a_valid_configuration_has_no_problems() -> None:
    assert validate_configuration(_configure()) == []


def _service(**changes: Any) -> tuple[ServiceRule, ...]:
    return (replace(_SERVICE, **changes),)


_UPSTREAM = _SERVICE.upstreams[0]


@pytest.mark.parametrize(
    ("configuration", "path", "accepted"),
    [
        (_configure([_vm(1), _vm(1), _vm(2)]), ("vms", 1, "id"), "own"),
        (_configure([replace(_vm(1), accelerators=0)]), ("vms", 0, "accelerators"), ""),
        (_configure([replace(_vm(1), id=VmId("a b"))]), ("vms", 0, "id"), "letters"),
        (
            _configure([_vm(1), replace(_vm(2), failure_domain=FailureDomainId("x"))]),
            ("vms", 1, "failure_domain"),
            "of-f0",
        ),
        (
            _configure(customers=(CustomerRule(_CARE, (CustomerId("who"),)),)),
            ("customers", 0, "may_use", 0),
            "care, rival",
        ),
        (
            _configure(models=(_model("m", CustomerId("who")),)),
            ("models", 0, "shares", 0, "customer"),
            "care, rival",
        ),
        (
            _configure(models=(_model(shares=(Share(_CARE, 5),)),)),
            ("models", 0, "shares"),
            "4 or fewer",
        ),
        (
            _configure(models=(_model(guaranteed_groups=2),)),
            ("models", 0, "wanted_groups"),
            "2 or more",
        ),
        (_configure(models=(_model(), _model())), ("models", 1, "name"), "own"),
        (_configure(models=(_model(shares=()),)), ("models", 0, "shares"), "one"),
        (
            _configure(models=(_model("m", _CARE, _RIVAL),)),
            ("models", 0, "shares"),
            "a model for each",
        ),
        (
            _configure(models=(_model(vms_per_group=3),)),
            ("models", 0, "vms_per_group"),
            "2 or fewer",
        ),
        (
            _configure(models=(_model(), _model("n"))),
            ("models", 1, "guaranteed_groups"),
            "0 or fewer",
        ),
        (
            _configure(services=_service(non_idempotent=("/send",))),
            ("services", 0, "non_idempotent", 0),
            "'send'",
        ),
        (
            _configure(services=_service(shares=(Share(_CARE, 5),))),
            ("services", 0, "shares"),
            "4 or fewer",
        ),
        (
            _configure(services=_service(upstreams=(_UPSTREAM, _UPSTREAM))),
            ("services", 0, "upstreams", 1, "address"),
            "once",
        ),
        (
            _configure(
                services=_service(
                    upstreams=(replace(_UPSTREAM, address=Address("10.0.0.1:80")),)
                )
            ),
            ("services", 0, "upstreams", 0, "address"),
            "no engine",
        ),
        (_configure(repair=RepairWeights(0, 0)), ("repair",), "above 0"),
        (_configure(repair=RepairWeights(-1, 1)), ("repair", "group_downtime"), "0"),
    ],
)
def test_a_problem_names_its_path_and_an_accepted_value(
    configuration: Configuration, path: tuple[str | int, ...], accepted: str
) -> None:
    found = {p.path: p.accepted for p in validate_configuration(configuration)}
    assert path in found, found
    assert accepted in found[path]


def test_guarantees_that_fit_only_in_one_arrangement_are_placed() -> None:
    """The model that may use fewer owners' VMs is placed first.

    The other model gets the remaining VMs.
    """
    customers = (
        CustomerRule(_CARE, (_CARE, _RIVAL)),
        CustomerRule(_RIVAL, (_RIVAL,)),
    )
    vms = [_vm(1, "f0", _RIVAL), _vm(2, "f0", _RIVAL), _vm(3), _vm(4)]
    models = (_model("wide"), _model("narrow", _RIVAL))
    assert not validate_configuration(
        _configure(vms, customers=customers, models=models)
    )
