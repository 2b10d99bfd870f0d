"""Metrics of the entry program on the users' platform."""

import asyncio
from collections import Counter
from collections.abc import Iterator

from zinniaspool.fleet import FleetStore, FleetView, TunnelServer, UpstreamConnector
from zinniaspool.fleet.metrics import add_fleet_metrics, add_path_metrics
from zinniaspool.gateway.backpressure import BackpressureTracker
from zinniaspool.gateway.cold import ColdTracker
from zinniaspool.gateway.crashes import CrashDetector
from zinniaspool.gateway.gate import AdmissionQueues
from zinniaspool.gateway.leaving import LeavingReporter
from zinniaspool.gateway.retries import RetryBudgets
from zinniaspool.gateway.targets import TargetIndex
from zinniaspool.http import HttpClient
from zinniaspool.telemetry import RequestTally, Sample, StallTally, StopTally
from zinniaspool.telemetry.page import MetricsPage

__all__ = ["make_gateway_metrics"]


def make_gateway_metrics(
    tally: RequestTally,
    fleet_view: FleetView,
    store: FleetStore,
    index: TargetIndex,
    http: HttpClient,
    admission_queues: AdmissionQueues,
    retries: RetryBudgets,
    crashes: CrashDetector,
    cold: ColdTracker,
    leaving: LeavingReporter,
    backpressure: BackpressureTracker,
    stalls: StallTally,
    stops: StopTally,
    connector: UpstreamConnector,
    tunnel_server: TunnelServer,
) -> MetricsPage:
    """Return the metrics page of an entry process."""
    page = MetricsPage()

    def list_targets() -> Iterator[Sample]:
        counts = Counter(state.target.model or "plain" for state in index)
        for model, count in counts.items():
            yield Sample({"model": model}, count)

    def list_running() -> Iterator[Sample]:
        running: Counter[str] = Counter()
        for state in index:
            running[state.target.model or "plain"] += state.local_requests
        for model, count in running.items():
            yield Sample({"model": model}, count)

    def list_opened() -> Iterator[Sample]:
        yield Sample({}, http.opened_connections)

    def list_tunnels() -> Iterator[Sample]:
        yield Sample({}, tunnel_server.open_count)

    page.add_counter("zinniaspool_requests", "Requests by their end.", tally.list_ends)
    page.add_counter(
        "zinniaspool_request_seconds_buckets",
        "Requests that took at most this many seconds.",
        tally.list_latencies,
    )
    page.add_gauge("zinniaspool_targets", "Targets by model.", list_targets)
    page.add_gauge(
        "zinniaspool_running",
        "Requests of this process at upstreams, by model.",
        list_running,
    )

    def list_paces() -> Iterator[Sample]:
        for model, paces in index.list_paces().items():
            yield Sample({"model": model, "kind": "worst"}, max(paces))
            yield Sample({"model": model, "kind": "mean"}, sum(paces) / len(paces))

    def list_slow() -> Iterator[Sample]:
        for pool in index.list_pools():
            for model in {state.target.model for state in pool} - {None}:
                yield Sample({"model": model or ""}, len(pool.slow.list_avoided()))

    page.add_gauge(
        "zinniaspool_target_pace",
        "Factor by which targets work slower than predicted: worst and mean.",
        list_paces,
    )
    page.add_gauge(
        "zinniaspool_slow_targets", "Targets avoided as slow, by model.", list_slow
    )

    def list_ages() -> Iterator[Sample]:
        yield Sample({}, index.measure_peer_load_age(asyncio.get_running_loop().time()))

    page.add_counter(
        "zinniaspool_admissions",
        "Requests for models: admitted on time, late, refused, or beyond a share.",
        admission_queues.tally.list_admissions,
    )
    page.add_counter(
        "zinniaspool_first_event_error_seconds_buckets",
        "First events that came at most this much later than predicted.",
        admission_queues.tally.list_errors,
    )
    page.add_counter(
        "zinniaspool_retries",
        "Requests that were sent to another upstream, or were denied that.",
        retries.list_granted,
    )
    page.add_gauge(
        "zinniaspool_retry_window",
        "Requests, retries and the retries allowed in the last window, by service.",
        retries.list_windows,
    )
    page.add_gauge(
        "zinniaspool_retry_processes",
        "Entry processes that share the retries beyond the ratio.",
        retries.list_process_count,
    )
    page.add_gauge(
        "zinniaspool_model_demand_slots",
        "Slots that all requests of this subset would use, by model and urgency.",
        admission_queues.list_demands,
    )
    page.add_gauge(
        "zinniaspool_model_slots",
        "Slots of this subset's targets, by model.",
        admission_queues.list_capacities,
    )
    page.add_gauge(
        "zinniaspool_peer_loads_age_seconds",
        "Age of the oldest load report of another entry process.",
        list_ages,
    )

    def list_crashes() -> Iterator[Sample]:
        yield Sample({}, crashes.crash_count)

    def list_held() -> Iterator[Sample]:
        yield Sample({}, crashes.quarantine.quarantined_count)

    page.add_counter(
        "zinniaspool_upstream_crashes",
        "Upstreams that this process found to have ended.",
        list_crashes,
    )
    page.add_gauge(
        "zinniaspool_held_contents",
        "Contents, prompt parts and customers whose requests are sent to no upstream.",
        list_held,
    )

    def list_trials() -> Iterator[Sample]:
        yield Sample({}, crashes.trial_count)

    page.add_counter(
        "zinniaspool_trials",
        "Requests with a suspected trait that were sent to the upstream of its trial.",
        list_trials,
    )

    def list_evacuated() -> Iterator[Sample]:
        yield Sample({}, sum(state.evacuated for state in index))

    page.add_gauge(
        "zinniaspool_evacuated_targets",
        "Targets that get no new requests since their failure domain is evacuated.",
        list_evacuated,
    )

    def list_cold() -> Iterator[Sample]:
        cold_count = sum(
            state.backpressure is not None and state.backpressure.cold is not None
            for state in index
        )
        yield Sample({}, cold_count)

    def list_cold_requests() -> Iterator[Sample]:
        yield Sample({}, cold.request_count)

    page.add_gauge(
        "zinniaspool_cold_targets",
        "Targets whose requests are limited since they are cold.",
        list_cold,
    )
    page.add_counter(
        "zinniaspool_cold_requests",
        "Requests that this process sent to cold targets.",
        list_cold_requests,
    )
    page.add_counter(
        "zinniaspool_stalls",
        "Targets that this process found stalled, by what showed it.",
        stalls.list_found,
    )
    page.add_counter(
        "zinniaspool_stall_false_alarms",
        "Targets that had an event after this process found them stalled.",
        stalls.list_false_alarms,
    )
    page.add_counter(
        "zinniaspool_stall_detection_seconds_buckets",
        "Stalls that were found at most this long after the last event.",
        stalls.list_detections,
    )

    page.add_counter(
        "zinniaspool_stop_requests",
        "Requests after the stop signal, by whether and why they were accepted.",
        stops.list_requests,
    )
    page.add_counter(
        "zinniaspool_stop_cut_requests",
        "Requests that the end of the process cut after a part of their answer.",
        stops.list_cut,
    )
    page.add_counter(
        "zinniaspool_stop_allowed_seconds_buckets",
        "Requests after the stop signal that had at most this much time.",
        stops.list_allowed,
    )
    page.add_counter(
        "zinniaspool_stop_needed_seconds_buckets",
        "Requests after the stop signal that were predicted to need at most this.",
        stops.list_needed,
    )

    asked = index.backpressure.values

    def list_limited() -> Iterator[Sample]:
        yield Sample({}, sum(one.rate is not None for one in asked()))

    def list_paused() -> Iterator[Sample]:
        now = asyncio.get_running_loop().time()
        yield Sample({}, sum(one.paused_until > now for one in asked()))

    page.add_gauge(
        "zinniaspool_limited_upstreams",
        "Upstreams that announce how many requests a second they accept.",
        list_limited,
    )
    page.add_gauge(
        "zinniaspool_paused_upstreams",
        "Upstreams that have asked this VM to pause and whose pause is not over.",
        list_paused,
    )

    def list_leaving() -> Iterator[Sample]:
        found = Counter(run.source.value for run in fleet_view.leaving)
        for source, count in found.items():
            yield Sample({"learned_by": source}, count)

    def list_leaving_requests() -> Iterator[Sample]:
        yield Sample({"path": "own"}, leaving.withheld_count)
        yield Sample({"path": "tunnel"}, tunnel_server.leaving_count)

    page.add_gauge(
        "zinniaspool_leaving_upstreams",
        "Upstreams that have said that they leave, by how this process learned it.",
        list_leaving,
    )
    page.add_counter(
        "zinniaspool_leaving_requests",
        "Requests that were not sent or carried on, since their upstreams leave.",
        list_leaving_requests,
    )

    def list_paused_requests() -> Iterator[Sample]:
        yield Sample({"path": "own"}, backpressure.withheld_count)
        yield Sample({"path": "tunnel"}, tunnel_server.paused_count)

    page.add_counter(
        "zinniaspool_paused_requests",
        "Requests that were not sent or carried on, in a pause asked of this VM.",
        list_paused_requests,
    )
    page.add_counter(
        "zinniaspool_connections", "Connections opened to upstreams.", list_opened
    )
    page.add_gauge(
        "zinniaspool_tunnels",
        "Connections to upstreams that this process keeps open for other VMs.",
        list_tunnels,
    )
    add_path_metrics(page, connector)
    add_fleet_metrics(page, fleet_view, store)
    return page
