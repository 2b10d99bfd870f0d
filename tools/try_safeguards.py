"""Take safeguards out, one at a time, and see a test fail for each.

``python -m tools.try_safeguards`` tries all, ``--some N --seed S`` a few. Each
one's edit is made on a copy of the tree, never here.
"""

import argparse
import os
import random
import shutil
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parent.parent
CORE = "src/zinniaspool/core"


@dataclass(frozen=True, slots=True)
class Safeguard:
    """One safeguard.

    Attributes:
        name: What it protects.
        file: Where it stands.
        old: Its text.
        new: What is there without it.
        test: The test that fails then.
    """

    name: str
    file: str
    old: str
    new: str
    test: str


SAFEGUARDS = (
    Safeguard(
        "an evacuated target gets no requests",
        f"{CORE}/dispatch/targets.py",
        "if self.removed or self.target.draining or self.evacuated:",
        "if self.removed or self.target.draining:",
        "tests/test_evacuation.py::"
        "test_an_evacuated_target_gets_no_request_not_even_as_a_last_resort",
    ),
    Safeguard(
        "nothing forms in an evacuated domain while others have VMs",
        f"{CORE}/formation/evacuation.py",
        "return instance.service not in self._replaceable",
        "return True",
        "tests/test_evacuation.py::"
        "test_groups_in_an_evacuated_domain_stay_open_and_nothing_forms_there",
    ),
    Safeguard(
        "processes of an evacuated domain share the targets of others",
        "src/zinniaspool/gateway/main.py",
        "shared = assign_domains(domains, self._fleet_view.evacuated)",
        "shared = assign_domains(domains, ())",
        "tests/test_evacuation.py::"
        "test_a_process_takes_its_subset_from_another_domain_until_the_end",
    ),
    Safeguard(
        "few VMs send to a cold upstream",
        f"{CORE}/dispatch/cold.py",
        "return 1 if preceding < shared else 0",
        "return 1",
        "tests/test_cold.py::test_the_bound_holds_while_lists_differ_by_a_third",
    ),
    Safeguard(
        "a share counts as used up after a start",
        f"{CORE}/dispatch/cold.py",
        "opening = self.opens_at",
        "opening = -math.inf",
        "tests/test_cold.py::"
        "test_a_process_that_has_just_started_has_used_up_its_share",
    ),
    Safeguard(
        "an amended record says nothing of coldness",
        "src/zinniaspool/gateway/cold.py",
        "if arrival.is_written and (",
        "if (",
        "tests/test_cold.py::"
        "test_a_record_that_a_status_amends_says_nothing_new_of_coldness",
    ),
    Safeguard(
        "an upstream that has asked for a pause gets no requests",
        f"{CORE}/dispatch/targets.py",
        "return self.backpressure.find_opening(self.subset_part)",
        "return -math.inf",
        "tests/test_backpressure.py::test_a_paused_upstream_gets_no_requests",
    ),
    Safeguard(
        "revisions of a restored store are newer than all before",
        f"{CORE}/generations.py",
        "return Revision(generation << NUMBER_BITS | number)",
        "return Revision(number)",
        "tests/test_restored_store.py::"
        "test_a_change_after_a_restored_store_is_in_force_in_time",
    ),
    Safeguard(
        "a removed record of the copy counts as absent for a while",
        f"{CORE}/fleet/mirror.py",
        "if is_restored and self._was_removed(item.key):",
        "if False:",
        "tests/test_restored_store.py::"
        "test_a_removed_record_of_the_copy_counts_as_absent_for_a_while",
    ),
    Safeguard(
        "VMs tell each other what they send to a limited upstream",
        "src/zinniaspool/gateway/backpressure.py",
        "if report.sent and known is not None and known.rate is not None:",
        "if False and known is not None and known.rate is not None:",
        "tests/test_announced_limits.py::test_an_upstream_gets_no_more_than_it_announced",
    ),
    Safeguard(
        "a limit holds also where no other upstream is left",
        f"{CORE}/dispatch/pools.py",
        " and state.is_open(now)\n",
        "\n",
        "tests/test_announced_limits.py::"
        "test_a_service_whose_upstreams_all_announce_limits_refuses_the_rest",
    ),
    Safeguard(
        "only an upstream that has ended counts as crashed",
        "src/zinniaspool/gateway/crashes.py",
        "if outcome is not ProbeOutcome.REFUSED:",
        "if False:",
        "tests/test_quarantine.py::"
        "test_a_request_cut_where_no_upstream_ends_is_not_quarantined",
    ),
    Safeguard(
        "what is held back outlasts the processes",
        "src/zinniaspool/gateway/crashes.py",
        "self._records.add(trait, found_here=found_here)",
        "pass",
        "tests/test_quarantine.py::test_a_quarantine_outlasts_all_entry_processes",
    ),
    Safeguard(
        "an answer clears a request of crashes",
        f"{CORE}/dispatch/evidence.py",
        "if c.at < began_at",
        "if False",
        "tests/test_quarantine.py::test_an_answer_clears_a_content",
    ),
    Safeguard(
        "a part is tried before it is quarantined",
        f"{CORE}/dispatch/traits.py",
        "TraitTerms(3, 1.0, 600.0, min_trials=1)",
        "TraitTerms(3, 1.0, 600.0, min_trials=0)",
        "tests/test_traits.py::test_crashes_out_of_a_trial_do_not_quarantine_a_part",
    ),
    Safeguard(
        "answers of before the crashes clear nothing",
        f"{CORE}/dispatch/evidence.py",
        "if c.at < began_at",
        "",
        "tests/test_traits.py::"
        "test_an_answer_that_began_before_the_crashes_clears_nothing",
    ),
    Safeguard(
        "what the holder finds lost is told",
        "src/zinniaspool/keeper/holder.py",
        "self._fleet_view.update_unreachable(planner.unreachable, loop.time())",
        "self._fleet_view.update_unreachable((), loop.time())",
        "tests/test_verdicts.py",
    ),
    Safeguard(
        "a process that was cut off keeps no removed instance",
        f"{CORE}/fleet/removals.py",
        "if not retained and unheard_s > MAX_UNHEARD_S:",
        "if False:",
        "tests/test_belief.py::"
        "test_a_process_that_was_cut_off_keeps_no_removed_instance",
    ),
    Safeguard(
        "what the holder no longer retains is dropped",
        f"{CORE}/fleet/removals.py",
        "elif kept.was_retained or now",
        "elif now",
        "tests/test_belief.py",
    ),
    Safeguard(
        "a status that disagrees ends a retention",
        f"{CORE}/fleet/retention.py",
        "if status.born != instance.started_at_ms:",
        "if False:",
        "tests/test_retention.py",
    ),
    Safeguard(
        "a new holder retains what its predecessor did until it has decided",
        f"{CORE}/fleet/retention.py",
        "if retention.inherited or retention.confirmed_at is not None",
        "if retention.confirmed_at is not None",
        "tests/test_retention.py",
    ),
    Safeguard(
        "a new holder goes on retaining while it queries all engines",
        "src/zinniaspool/keeper/retention.py",
        "                self.step()\n                await asyncio.wait",
        "                await asyncio.wait",
        "tests/test_retention.py",
    ),
    Safeguard(
        "a VM without a record joins no other group",
        f"{CORE}/formation/domains.py",
        "                or instance.id in inventory.view.unrecorded\n",
        "",
        "tests/test_retention.py",
    ),
    Safeguard(
        "a group is not opened while a member has no record",
        f"{CORE}/formation/lifecycle.py",
        "                and member not in view.unrecorded\n",
        "",
        "tests/test_formation.py",
    ),
    Safeguard(
        "a removal that was deferred is not deferred again",
        "src/zinniaspool/fleet/retention.py",
        "if not self.is_enabled or change.was_deferred:",
        "if not self.is_enabled:",
        "tests/test_belief.py",
    ),
    Safeguard(
        "stalled streams end a retention",
        "src/zinniaspool/keeper/retention.py",
        "self._end(instance, RetentionEnd.STALLED)",
        "pass",
        "tests/test_retention.py",
    ),
    Safeguard(
        "a request leaves the fabric domain where its target stalled",
        f"{CORE}/dispatch/pools.py",
        "if state.target.fabric_domain in suspected_domains:",
        "if False:",
        "tests/test_dispatch.py",
    ),
    Safeguard(
        "a stream goes on with the version that began it",
        "src/zinniaspool/entry/relay.py",
        "if state.upstream.version == run.version:",
        "if True:",
        "tests/test_relay.py::test_a_stream_is_resumed_only_by_the_version_that_began_it",
    ),
    Safeguard(
        "the last look at the lease before an order leaves",
        "src/zinniaspool/control/engines.py",
        "if not may_send():",
        "if False:",
        "tests/test_engine_orders.py",
    ),
    Safeguard(
        "a group opens only once all members say that they are ready",
        f"{CORE}/formation/lifecycle.py",
        "if ready == len(self.record.members) and",
        "if ready and",
        "tests/test_formation.py",
    ),
    Safeguard(
        "a VM of an unknown group leaves before it joins",
        f"{CORE}/formation/releases.py",
        "        if instance.id in self._orphans:\n            return False\n",
        "",
        "tests/test_formation.py::test_an_outdated_record_does_not_free_a_vm",
    ),
    Safeguard(
        "only VMs that left are free after a head was not reached",
        f"{CORE}/formation/releases.py",
        "if run.record.head in run.released:",
        "if True:",
        "tests/test_formation.py::"
        "test_members_cut_off_from_the_store_leave_before_they_join_again",
    ),
    Safeguard(
        "an older revision changes nothing",
        f"{CORE}/fleet/mirror.py",
        "        if before is not None and before.revision > item.revision:\n"
        "            return []\n",
        "",
        "tests/test_mirror.py",
    ),
    Safeguard(
        "a removed key does not come back by an old copy",
        f"{CORE}/fleet/mirror.py",
        "        if self._removal_revisions.get(item.key, 0) >= item.revision:\n"
        "            return []\n",
        "",
        "tests/test_mirror.py",
    ),
    Safeguard(
        "removals around an outage are deferred",
        f"{CORE}/fleet/mirror.py",
        "if self._is_ephemeral(key) and now < self._grace_ends_at:",
        "if False:",
        "tests/test_mirror.py",
    ),
    Safeguard(
        "repeats stay below what all processes may",
        f"{CORE}/dispatch/repeats.py",
        "if self._available < 1.0:",
        "if False:",
        "tests/test_dispatch.py",
    ),
    Safeguard(
        "a process starts without retries",
        f"{CORE}/dispatch/repeats.py",
        "self._available = 0.0",
        "self._available = limits.slack",
        "tests/test_retry_sharing.py::test_a_process_that_starts_has_no_retries",
    ),
    Safeguard(
        "a lost process shares the slack for one more window",
        f"{CORE}/dispatch/repeats.py",
        "return max(1, len(self._listed) + len(self._removed_at))",
        "return max(1, len(self._listed))",
        "tests/test_retry_sharing.py::"
        "test_a_process_that_is_gone_shares_the_slack_for_one_more_window",
    ),
    Safeguard(
        "a process that others may not count has no slack",
        "src/zinniaspool/gateway/retries.py",
        "if self._is_listed and self._is_registered():",
        "if True:",
        "tests/test_retry_sharing.py::"
        "test_a_process_without_a_valid_record_has_no_slack",
    ),
    Safeguard(
        "informational responses are counted",
        "src/zinniaspool/http/client.py",
        "if self._informational > _MAX_INFORMATIONAL:",
        "if False:",
        "tests/test_endless_answers.py::"
        "test_a_call_that_may_run_once_ends_before_its_deadline",
    ),
    Safeguard(
        "a call that may run once is not repeated after a loss",
        f"{CORE}/dispatch/attempts.py",
        "        if not self._terms.idempotent:\n"
        "            self.stop = RetryStop.NOT_REPEATABLE\n"
        "            return Fault(ErrorKind.UPSTREAM_LOST)\n",
        "",
        "tests/test_attempts.py",
    ),
    Safeguard(
        "an answer to another request is thrown away",
        "src/zinniaspool/gateway/sending.py",
        "if answered_id in (call.terms.id, None):",
        "if True:",
        "tests/test_installation.py::test_an_answer_too_many_reaches_nobody",
    ),
    Safeguard(
        "silent heads are looked for soon after anything was sent",
        "src/zinniaspool/gateway/silence.py",
        "next_at, now + MAX_CHECK_INTERVAL_S, self",
        "next_at, now + 10.0, self",
        "tests/test_silence.py",
    ),
    Safeguard(
        "the key stays here",
        "src/zinniaspool/platform/wire.py",
        'for name in ("authorization", ',
        "for name in (",
        "tests/test_platform_adapter.py",
    ),
    Safeguard(
        "a stream that stops inside an event is no whole answer",
        f"{CORE}/dispatch/streams.py",
        "whole, self._tail = data[:end], data[end:]",
        'whole, self._tail = data, b""',
        "tests/test_streams.py",
    ),
    Safeguard(
        "a deferred removal is not reported as applied",
        f"{CORE}/fleet/mirror.py",
        "return Revision(min([self.as_of, *(revision - 1 for revision in deferred)]))",
        "return self.as_of",
        "tests/test_mirror.py",
    ),
    Safeguard(
        "callers are not sent to a VM that is not reached",
        "src/zinniaspool/gateway/directory.py",
        "for name in self._reachability.list_usable(others)",
        "for name in others",
        "tests/test_reachability.py",
    ),
    Safeguard(
        "ready VMs are not bound in a group while another one loads",
        f"{CORE}/formation/allocation.py",
        "if not found.loads or len(found.loads) == need.spec.size:",
        "if True:",
        "tests/test_formation.py",
    ),
    Safeguard(
        "log lines of requests leave room for the others",
        "src/zinniaspool/telemetry/lines.py",
        "            room -= RESERVED_BYTES\n",
        "",
        "tests/test_log_lines.py",
    ),
    Safeguard(
        "events that lie unread are read before a head counts as stalled",
        "src/zinniaspool/gateway/silence.py",
        "            await _read_arrived_events()\n",
        "",
        "tests/test_lost_heads.py",
    ),
    Safeguard(
        "a stream that can't be on time elsewhere stays while its head may be slow",
        "src/zinniaspool/gateway/silence.py",
        "condition = RerouteCondition.ON_TIME",
        "condition = RerouteCondition.ANY_TARGET",
        "tests/test_lost_heads.py",
    ),
    Safeguard(
        "the unread prompts of a lost head don't delay its detection",
        f"{CORE}/dispatch/pace.py",
        "min(unread_tokens, self.max_read_tokens)",
        "unread_tokens",
        "tests/test_lost_heads.py",
    ),
    Safeguard(
        "one late pass does not make a head slow",
        f"{CORE}/dispatch/speed.py",
        "sorted(self._samples)[(len(self._samples) - 1) // 2]",
        "max(self._samples)",
        "tests/test_speed.py::test_one_late_pass_changes_nothing",
    ),
    Safeguard(
        "heads that are all slower than configured are all used",
        f"{CORE}/dispatch/slow.py",
        "self._usual_pace = paces[len(paces) // 4]",
        "self._usual_pace = 1.0",
        "tests/test_speed.py::"
        "test_heads_that_all_differ_from_the_configuration_are_not_slow",
    ),
    Safeguard(
        "a refused caller's next target is not the one that refuses all",
        f"{CORE}/dispatch/failures.py",
        "float(failed or refused)",
        "float(failed)",
        "tests/test_speed.py::"
        "test_a_target_that_refuses_at_once_is_avoided_and_tried_again",
    ),
    Safeguard(
        "a model's only group is not closed because of a slow member",
        f"{CORE}/formation/slowness.py",
        "if len(runs) < MIN_GROUPS or self._is_replacing(key, domains, now):",
        "if self._is_replacing(key, domains, now):",
        "tests/test_slow_members.py::test_the_only_group_of_a_model_is_not_replaced",
    ),
    Safeguard(
        "an attempt counts until its upstream has ended",
        "src/zinniaspool/gateway/calls.py",
        "if has_ended(target.incarnation):",
        "if target.incarnation:",
        "tests/test_outlasting_streams.py::"
        "test_a_stream_waits_for_heads_that_may_have_begun_it",
    ),
    Safeguard(
        "a request isn't sent on when its caller has closed",
        "src/zinniaspool/gateway/carrier.py",
        "if call.exchange.has_caller_left:\n                raise",
        "if call.terms.id is None:\n                raise",
        "tests/test_departed_callers.py::"
        "test_a_request_that_its_caller_gave_up_unread_is_not_sent_on",
    ),
    Safeguard(
        "a request counts from when it arrived",
        "src/zinniaspool/http/connection.py",
        "return now - (measure_unread(connection) or 0.0)",
        "return now",
        "tests/test_departed_callers.py::"
        "test_a_request_that_lay_unread_has_the_time_that_is_left",
    ),
    Safeguard(
        "endless answers that come at once share a limit",
        "src/zinniaspool/http/client.py",
        "size > max_bytes or bodies.is_too_large(size)",
        "size > max_bytes",
        "tests/test_endless_answers.py::"
        "test_many_endless_answers_at_once_leave_memory_for_others",
    ),
    Safeguard(
        "a stopping process refuses what may outlast it",
        "src/zinniaspool/gateway/stops.py",
        "if not call.deadline_after_stop:\n            return False",
        "if call.terms.id:\n            return False",
        "tests/test_stop_forecasts.py::test_a_stream_of_unknown_length_is_not_cut",
    ),
)


def try_one(safeguard: Safeguard, folder: Path) -> str:
    """Take one out and return what is wrong with its proof, or nothing."""
    for name in ("src", "tests", "tools", "docs"):
        shutil.copytree(ROOT / name, folder / name, dirs_exist_ok=True)
    shutil.copy(ROOT / "pyproject.toml", folder)
    file = folder / safeguard.file
    text = file.read_text()
    if text.count(safeguard.old) < 1:
        return "its text is not there any more"
    file.write_text(text.replace(safeguard.old, safeguard.new))
    ran = subprocess.run(
        [sys.executable, "-m", "pytest", "-x", "-q", safeguard.test],
        cwd=folder,
        capture_output=True,
        env={**os.environ, "PYTHONPATH": str(folder / "src")},
    )
    return "" if ran.returncode == 1 else f"no test failed (status {ran.returncode})"


def main() -> int:
    """Try them; return 1 if any can be taken out unseen."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--some", type=int, default=len(SAFEGUARDS))
    parser.add_argument("--seed", type=int, default=0)
    options = parser.parse_args()
    chosen = random.Random(options.seed).sample(SAFEGUARDS, options.some)
    unseen = 0
    for safeguard in chosen:
        with tempfile.TemporaryDirectory() as folder:
            wrong = try_one(safeguard, Path(folder))
        unseen += bool(wrong)
        print(f"{'UNSEEN' if wrong else 'seen'}: {safeguard.name} {wrong}", flush=True)
    return 1 if unseen else 0


if __name__ == "__main__":
    sys.exit(main())
