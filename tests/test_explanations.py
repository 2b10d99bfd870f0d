"""Operators of one customer see nothing that names another customer."""

import msgspec

from zinniaspool.core.explanations import merge_decisions, restrict_decisions
from zinniaspool.core.groups.accounting import Measures
from zinniaspool.core.groups.descriptions import (
    DomainDescription,
    GroupDescription,
    IdleDescription,
    ShortfallDescription,
    restrict_domain,
)
from zinniaspool.core.ids import (
    CustomerId,
    Epoch,
    FabricDomainId,
    GroupId,
    ModelName,
    ModelVersion,
    VmId,
)
from zinniaspool.core.journal import Decision, DecisionKind, Journal
from zinniaspool.core.requests.refusals import RefusalLimiter

_OWN, _OTHER = CustomerId("care"), CustomerId("rival")


def _decide(at: float, number: int, customers: str) -> Decision:
    return Decision(
        at,
        number,
        DecisionKind.GROUP_FORMED,
        ("group:g1", "group:rival-g2", "model:rival-model"),
        "guaranteed 1 groups, has 0",
        {"customers": customers} if customers else {},
    )


def test_decisions_of_several_processes_are_in_order() -> None:
    found = merge_decisions(
        [[_decide(1.0, 1, ""), _decide(3.0, 2, "")], [_decide(2.0, 9, "")]]
    )
    assert [decision.at for decision in found] == [1.0, 2.0, 3.0]


def test_decisions_show_nothing_of_other_customers() -> None:
    """A shared decision is kept without the other customer; others are not."""
    shared, foreign = _decide(1.0, 1, "care,rival"), _decide(2.0, 2, "rival")
    unnamed = _decide(3.0, 3, "")
    seen = restrict_decisions([shared, foreign, unnamed], _OWN, "group:g1")
    assert len(seen) == 1
    assert b"rival" not in msgspec.json.encode(seen)


def test_a_refusal_is_shown_to_its_customer_alone() -> None:
    subjects = ("request:r1", "customer:care", "upstream:rival-box")
    refused = Decision(1.0, 1, DecisionKind.REQUEST_REFUSED, subjects, "no room")
    (seen,) = restrict_decisions([refused], _OWN, "request:r1")
    assert seen.subjects == ("request:r1",)
    assert restrict_decisions([refused], _OTHER, "request:r1") == []


def test_many_refusals_push_out_no_other_decision() -> None:
    """Operators still find another customer's refusal and the loss of a VM.

    One customer's requests are refused ten thousand times in ten seconds. Only
    a bounded number of these refusals is kept, and the next one that is kept
    carries the number of those left out.
    """
    rate, journal = RefusalLimiter(rate_per_s=2.0, burst=10), Journal(4, 40)
    kind = DecisionKind.REQUEST_REFUSED
    journal.record(0.0, DecisionKind.VM_OUT, ("vm:v1",), "absent")
    assert rate.admit(_OTHER, 0.0) == 0
    journal.record(0.0, kind, ("request:rival",), "no room")
    kept = left_out = 0
    for number in range(10_000):
        taken = rate.admit(_OWN, number / 1024)
        if taken is not None:
            journal.record(0.0, kind, (f"request:{number}",), "no room")
            kept += 1
            left_out += taken
    assert kept == 10 + int(2 * 9_999 / 1024)
    left_out += rate.admit(_OWN, 20.0) or 0
    assert kept + left_out == 10_000
    for subject in ("vm:v1", "request:rival", "request:0"):
        assert len(journal.find(subject)) == 1, subject
    numbers = [decision.number for decision in journal.list_decisions()]
    assert numbers == sorted(numbers)


def test_a_domain_shows_nothing_of_other_customers() -> None:
    def group(name: str, *customers: CustomerId) -> GroupDescription:
        return GroupDescription(
            GroupId(name),
            ModelName("m"),
            ModelVersion("1"),
            customers,
            (VmId("vm1"),),
            Epoch(1),
            "serving",
            True,
            (),
        )

    domain = DomainDescription(
        FabricDomainId("d0"),
        True,
        Epoch(1),
        (group("g1", _OWN, _OTHER), group("rival-g2", _OTHER)),
        (
            IdleDescription(VmId("vm2"), _OWN, "too-few"),
            IdleDescription(VmId("rival-vm"), _OTHER, "too-few"),
        ),
        (ShortfallDescription(ModelName("rival-model"), (_OTHER,), "wanted", ""),),
        Measures(downtime_s=5.0),
    )
    seen = restrict_domain(domain, _OWN)
    assert b"rival" not in msgspec.json.encode(seen)
    assert [found.id for found in seen.groups] == ["g1"]
    assert [found.vm for found in seen.idle] == ["vm2"]
    assert seen.measures == Measures()
