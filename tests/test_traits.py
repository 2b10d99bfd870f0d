"""Tests of the evidence for and against traits of requests."""

import pytest

from tests.crash_world import CrashWorld, WorldTerms
from zinniaspool.core.dispatch import (
    Quarantine,
    TraitKind,
    TraitStatus,
    find_kind,
    identify_traits,
)
from zinniaspool.core.fleet import InstanceId, InstanceIncarnation
from zinniaspool.core.ids import ContentId, PromptPartId, TraitId

_PART, _OTHER = TraitId("part-a"), TraitId("part-b")
_CUSTOMER = TraitId("customer-care")


class _Crashes:
    """Crashes of one upstream after another, half a second apart."""

    def __init__(self) -> None:
        self.quarantine = Quarantine()
        self.now = 100.0
        self._number = 0

    def add(
        self, *traits: str, trial: TraitId | None = None, after_s: float = 0.5
    ) -> list[TraitId]:
        """Let an upstream crash; return what is quarantined for it."""
        self.now += after_s
        self._number += 1
        incarnation = InstanceIncarnation(InstanceId(f"i-{self._number}"), 0)
        findings = self.quarantine.record_crash(
            incarnation,
            [TraitId(trait) for trait in traits],
            [] if trial is None else [trial],
            self.now,
        )
        return findings.quarantined

    def answer(self, *traits: TraitId) -> list[TraitId]:
        """Let an upstream answer a request that began just now."""
        self.now += 0.1
        return self.quarantine.record_answer(traits, self.now, self.now)

    def judge(self, *traits: TraitId) -> TraitStatus:
        """Return the status of a request."""
        return self.quarantine.judge(traits, self.now).status


def test_a_part_is_quarantined_by_a_crash_in_its_trial() -> None:
    crashes = _Crashes()
    for number in range(3):
        assert crashes.judge(_PART) is TraitStatus.CLEAR
        assert crashes.add(f"c{number}", _PART) == []
    assert crashes.judge(_PART) is TraitStatus.SUSPECTED
    assert crashes.add("c4", _PART, trial=_PART) == [_PART]
    assert crashes.judge(TraitId("c9"), _PART) is TraitStatus.QUARANTINED
    assert crashes.judge(TraitId("c9"), _OTHER) is TraitStatus.CLEAR


def test_crashes_out_of_a_trial_do_not_quarantine_a_part() -> None:
    """Guards against quarantining a part that is on all crashed upstreams."""
    crashes = _Crashes()
    for number in range(5):
        assert crashes.add(f"c{number}", _PART, _OTHER) == []


def test_an_answer_in_the_trial_clears_a_part() -> None:
    crashes = _Crashes()
    for number in range(3):
        crashes.add(f"c{number}", _PART)
    assert crashes.answer(TraitId("c9"), _PART) == [_PART]
    assert crashes.judge(_PART) is TraitStatus.CLEAR


def test_an_answer_that_began_before_the_crashes_clears_nothing() -> None:
    """Guards against streams that outlast the first crash of a part."""
    crashes = _Crashes()
    began_at = crashes.now
    for number in range(3):
        crashes.add(f"c{number}", _PART)
    cleared = crashes.quarantine.record_answer([_PART], began_at, crashes.now)
    assert cleared == []
    assert crashes.judge(_PART) is TraitStatus.SUSPECTED


def test_an_answered_part_needs_time_and_two_trials() -> None:
    """Guards against quarantining a common part after a few crashes."""
    crashes = _Crashes()
    crashes.answer(_PART)
    for number in range(3):
        crashes.add(f"c{number}", _PART, after_s=0.2)
    assert crashes.judge(_PART) is TraitStatus.CLEAR
    crashes.now += 1.0
    assert crashes.judge(_PART) is TraitStatus.SUSPECTED
    assert crashes.add("c4", _PART, trial=_PART) == []
    assert crashes.add("c5", _PART, trial=_PART) == [_PART]


def test_a_crash_beside_others_is_no_trial() -> None:
    """Guards against failures of many upstreams that hit a trial too."""
    crashes = _Crashes()
    for number in range(3):
        crashes.add(f"c{number}", _PART)
    assert crashes.add("c4", _OTHER) == []
    assert crashes.add("c5", _PART, trial=_PART, after_s=0.02) == []
    assert crashes.judge(_PART) is TraitStatus.SUSPECTED


def test_a_crash_reported_late_puts_a_quarantine_in_doubt() -> None:
    """Guards against deciding before all crashes of a moment are reported."""
    crashes = _Crashes()
    for number in range(3):
        crashes.add(f"c{number}", _PART)
    assert crashes.add("c4", _PART, trial=_PART) == [_PART]
    crashes.add("c5", _OTHER, after_s=0.02)
    assert crashes.judge(_PART) is TraitStatus.SUSPECTED


def test_a_series_of_crashes_shows_its_part_without_a_trial() -> None:
    """Guards against upstreams that all crash before a trial can end."""
    crashes = _Crashes()
    crashes.answer(_PART)
    quarantined = [
        crashes.add(f"c{number}", _PART, *[_OTHER] * (number % 2), after_s=0.3)
        for number in range(7)
    ]
    assert quarantined.index([_PART]) <= 6


def test_a_content_explains_what_else_its_request_has() -> None:
    """Guards against quarantining the parts of one repeated request."""
    crashes = _Crashes()
    assert crashes.add("c0", _PART, _CUSTOMER) == []
    assert crashes.add("c0", _PART, _CUSTOMER) == []
    assert crashes.add("c0", _PART, _CUSTOMER) == [TraitId("c0")]
    assert crashes.judge(_PART, _CUSTOMER) is TraitStatus.CLEAR


def test_a_content_beside_a_quarantined_one_is_quarantined_too() -> None:
    """Guards against a content protected by one that was counted first."""
    crashes = _Crashes()
    for _ in range(2):
        crashes.add("beside", "c0")
    assert crashes.add("beside") == [TraitId("beside")]
    incarnation = InstanceIncarnation(InstanceId("i-3"), 0)
    findings = crashes.quarantine.record_crash(
        incarnation, [TraitId("c0")], [], crashes.now
    )
    assert findings.quarantined == [TraitId("c0")]


def test_a_part_of_two_contents_is_suspected_at_the_fourth_crash() -> None:
    """Guards against counting each repeated content anew."""
    crashes = _Crashes()
    for _ in range(3):
        crashes.add("c0", _PART)
    crashes.add("c1", _PART)
    assert crashes.judge(_PART) is TraitStatus.SUSPECTED
    assert crashes.add("c1", _PART, trial=_PART) == [_PART]


def test_a_part_releases_contents_that_it_explains() -> None:
    """Guards against a quarantine of requests beside the ones that crash."""
    crashes = _Crashes()
    for number in range(3):
        crashes.add("beside", f"c{number}", _PART)
    assert crashes.judge(TraitId("beside")) is TraitStatus.QUARANTINED
    crashes.add("c4", _PART)
    assert crashes.add("c5", _PART, trial=_PART) == [_PART]
    assert crashes.judge(TraitId("beside")) is TraitStatus.CLEAR


def test_a_customer_is_tried_only_if_nothing_narrower_is_suspected() -> None:
    """Guards against quarantining a customer for a part of its requests."""
    crashes = _Crashes()
    for number in range(8):
        crashes.add(f"c{number}", _PART, _CUSTOMER)
    verdict = crashes.quarantine.judge([_PART, _CUSTOMER], crashes.now)
    assert verdict.trait == _PART
    assert crashes.add("c8", _PART, _CUSTOMER, trial=_CUSTOMER) in ([], [_PART])
    assert crashes.judge(_CUSTOMER) is not TraitStatus.QUARANTINED


def test_a_customer_that_renews_all_else_is_quarantined() -> None:
    """Guards against a caller whose requests share nothing but their key."""
    crashes = _Crashes()
    for number in range(8):
        crashes.add(f"c{number}", f"part-{number}", _CUSTOMER)
    assert crashes.judge(_CUSTOMER) is TraitStatus.SUSPECTED
    assert crashes.add("c9", "part-9", _CUSTOMER, trial=_CUSTOMER) == [_CUSTOMER]


def test_one_process_tries_a_quarantined_part_again() -> None:
    """Guards against a wrong quarantine that nothing could end."""
    crashes = _Crashes()
    for number in range(3):
        crashes.add(f"c{number}", _PART)
    crashes.add("c4", _PART, trial=_PART)
    crashes.quarantine.schedule_retrials(_PART, crashes.now)
    assert crashes.judge(_PART) is TraitStatus.QUARANTINED
    crashes.now += 121.0
    assert crashes.judge(_PART) is TraitStatus.SUSPECTED
    crashes.quarantine.record_trial(_PART, crashes.now)
    assert crashes.judge(_PART) is TraitStatus.QUARANTINED
    assert crashes.answer(_PART) == [_PART]
    assert crashes.judge(_PART) is TraitStatus.CLEAR


def test_a_process_that_joins_learns_what_speaks_against_a_part() -> None:
    """Guards against a process that counts from nothing."""
    crashes = _Crashes()
    for number in range(3):
        crashes.add(f"c{number}", _PART, f"part-{number}")
    joined = Quarantine()
    for crash in crashes.quarantine.list_shared_crashes():
        assert crash.traits == {_PART}
        joined.record_crash(
            crash.incarnation, crash.traits, crash.trials, crashes.now, crash.at
        )
    assert joined.judge([_PART], crashes.now).status is TraitStatus.SUSPECTED


def test_crashes_of_a_history_come_before_the_known_ones() -> None:
    """Guards against taking the first known crash for the first one."""
    crashes = _Crashes()
    crashes.answer(_PART)
    crashes.now += 3.0
    crashes.add("c0", _PART, after_s=0.0)
    for number in range(2):
        incarnation = InstanceIncarnation(InstanceId(f"old-{number}"), 0)
        crashes.quarantine.record_crash(
            incarnation, [_PART], [], crashes.now, crashes.now - 2.0
        )
    assert crashes.judge(_PART) is TraitStatus.SUSPECTED


def test_a_record_of_trials_outweighs_answers_of_before() -> None:
    """Guards against releasing a part because it was sound once."""
    process = Quarantine()
    process.record_answer([_PART], 99.0, 100.0)
    crashed = [InstanceId(f"i-{number}") for number in range(4)]
    assert not process.apply_record(_PART, crashed, 1, 101.0)
    assert process.apply_record(_PART, crashed, 2, 101.0)
    assert process.is_quarantined(_PART, 101.0)


def test_traits_are_bounded_and_of_a_known_form() -> None:
    """Guards against names of callers in log lines and in the store's keys."""
    parts = [PromptPartId(f"{number:x}") for number in range(200)]
    odd = [PromptPartId("a/b\n"), PromptPartId("f" * 500), PromptPartId("a/b\n")]
    traits = identify_traits(ContentId("c0"), [*odd, *parts], "wärd")
    assert len(traits) < 70
    assert all(len(trait) < 50 for trait in traits)
    assert all(trait.replace("-", "").isalnum() for trait in traits)
    kinds = [find_kind(trait) for trait in traits]
    assert kinds == sorted(kinds, key=list(TraitKind).index)
    assert set(kinds) == set(TraitKind)


_WORLDS = {
    "one part": WorldTerms(),
    "rare": WorldTerms(crashing_per_s=0.2, ends_at=60.0),
    "often": WorldTerms(crashing_per_s=5.0),
    "two parts": WorldTerms(crashing=2, crashing_per_s=0.5, ends_at=50.0),
    "lost messages": WorldTerms(lost=0.2),
    "restarts": WorldTerms(restarts_at=tuple(8.0 + k for k in range(15))),
    "other crashes": WorldTerms(
        crashing_per_s=1.0, unrelated_at=tuple(range(5, 40, 3))
    ),
}


@pytest.mark.parametrize("world", _WORLDS)
def test_a_crashing_part_is_found_in_a_simulated_fleet(world: str) -> None:
    """Guards against a part that goes on crashing upstreams once five have."""
    for seed in range(3):
        made = CrashWorld(_WORLDS[world], seed)
        made.run()
        for number in range(made.terms.crashing):
            assert made.count_later_arrivals(number) <= 3
        assert made.sound["held"] < 0.02 * made.sound["all"]


def test_crashes_for_other_reasons_hold_hardly_any_request() -> None:
    """Guards against taking what upstreams had for what crashed them."""
    terms = WorldTerms(crashing=0, unrelated_at=tuple(range(5, 40, 2)), unrelated=4)
    for seed in range(3):
        made = CrashWorld(terms, seed)
        made.run()
        assert made.sound["held"] < 0.01 * made.sound["all"]


_SOUND_BEFORE = {
    "few upstreams": WorldTerms(
        upstreams=5,
        per_s=25.0,
        crashing_per_s=0.5,
        was_sound=True,
        unrelated_at=tuple(range(5, 50, 7)),
        unrelated=2,
        ends_at=50.0,
    ),
    "very often": WorldTerms(was_sound=True, crashing_per_s=5.0),
}


@pytest.mark.parametrize("world", _SOUND_BEFORE)
def test_a_part_that_was_sound_is_found_in_a_simulated_fleet(world: str) -> None:
    """Guards against answers of before that protect a part for long."""
    for seed in range(20):
        made = CrashWorld(_SOUND_BEFORE[world], seed)
        made.run()
        assert made.count_later_arrivals(0) <= 3, seed


def test_one_trial_counts_twice_for_a_part_that_dominates_its_crashes() -> None:
    """Guards against a second trial where there is no other explanation."""
    crashes = _Crashes()
    crashes.answer(_PART)
    crashes.add("before", _OTHER)
    for number in range(4):
        crashes.add(f"c{number}", _PART)
    crashes.add("beside", _OTHER)
    assert crashes.add("c5", _PART, trial=_PART) == [_PART]
