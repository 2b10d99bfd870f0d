"""Decodes the operator's configuration in the platform's format."""

import re
from typing import Annotated, Any

import msgspec
from result import Err, Ok, Result

from zinniaspool.core.decoding import DECODE_ERRORS, MAX_COUNT, shorten
from zinniaspool.core.fleet import (
    CallerLimits,
    Catalog,
    CustomerSpec,
    EngineSpec,
    ModelSpec,
    RequestKind,
    RouteSpec,
    ServiceShare,
    ServiceSpec,
)
from zinniaspool.core.ids import CustomerId, ModelName, ServiceName

__all__ = ["RULES_KEY", "decode_rules"]

RULES_KEY = "op/config"

MIN_NUMBER = 1e-9
MAX_NUMBER = 1e15
"""Smallest and largest amount that isn't zero. Results of those beyond may be
infinite, and a text may also spell an infinite one."""

MAX_GROUP_SIZE = 10_000
"""Most VMs of a group: more than any fleet has."""

MIN_CALLER_TIMEOUT_S = 2.0
CALLER_TIMEOUT_OBJECTIVES = 4.0
CALLER_TIMEOUT_PAUSES = 8.0
"""Callers leave a stream without an event after the longest of these: a number
of seconds, a multiple of the stream's latency objective, and a multiple of the
longest pause that is on time."""


_Amount = Annotated[float, msgspec.Meta(ge=0, le=MAX_NUMBER)]
_Positive = Annotated[float, msgspec.Meta(ge=MIN_NUMBER, le=MAX_NUMBER)]
_Integer = Annotated[int, msgspec.Meta(ge=-MAX_COUNT, le=MAX_COUNT)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
_PositiveCount = Annotated[int, msgspec.Meta(ge=1, le=MAX_COUNT)]


class _Weighted(msgspec.Struct):
    service: str
    weight: _Amount = 0.0


class _Route(msgspec.Struct, rename="kebab"):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: _Positive
    # The latency objective; of a stream, until its first event.
    target_latency_ms: _Amount = 0.0
    priority: _Integer = 5
    service: str = ""
    # Replaces `service` where several services share the route's requests.
    traffic_split: list[_Weighted] = []
    max_attempts: _Integer = 1
    allow_anonymous: bool = False
    # Set on routes whose requests name a model and the parts of a prompt.
    sticky_sessions: bool = False
    stream_resume: bool = False
    # Longest pause between events that is on time.
    gap_aim_ms: _Amount = 0.0


class _Model(msgspec.Struct, rename="kebab"):
    name: str
    size: Annotated[int, msgspec.Meta(ge=1, le=MAX_GROUP_SIZE)] = 1
    share: _Amount = 0.0
    pace: _Positive = 1.0
    load_s: _Amount = 0.0
    warm_s: _Amount = 0.0


DEFAULT_STEP_MS = 1.0
"""Time of an engine's step if it isn't configured, in milliseconds."""


class _Engine(msgspec.Struct):
    slots: _PositiveCount = 1
    models: list[_Model] = []
    stride: _PositiveCount = 1
    step_ms: _Amount | None = None
    per_seq_ms: _Amount = 0.0
    read_per_s: _Positive = 1e6
    chunk: _Count = 2048
    loads_per_s: _Amount = msgspec.field(default=1.0, name="loads-per-s")
    loads_at_once: _Count = 1
    form_ms: _Amount = msgspec.field(default=0.0, name="form-ms")
    keeps: _Count = 1


class _Service(msgspec.Struct, rename="kebab"):
    name: str
    engine: _Engine | None = None
    cold_start_s: _Amount = 0.0
    # 0: not limited.
    cold_per_s: _Amount = 0.0
    health_path: str | None = None


class _Limits(msgspec.Struct, rename="kebab"):
    max_header_bytes: _PositiveCount = 16384
    max_body_bytes: _Count = 4194304
    header_timeout_ms: _Positive = 3000.0
    idle_timeout_ms: _Amount = 15000.0


class _Tenant(msgspec.Struct, rename="kebab"):
    name: str
    api_keys: list[str] = []
    priority: _Integer | None = None


class _Config(msgspec.Struct):
    version: _Integer
    # `decode_rules` converts each route by itself, and not strictly.
    routes: list[Any] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


_PATH = re.compile(r"/[!-~]*", re.ASCII)

_KINDS = {
    "idempotent": RequestKind.IDEMPOTENT,
    "non_idempotent": RequestKind.NON_IDEMPOTENT,
    "stream": RequestKind.STREAM,
}


def decode_rules(value: bytes) -> Result[Catalog, str]:
    """Return the decoded rules, or why they are invalid."""
    try:
        config = msgspec.json.decode(value, type=_Config)
        routes = [
            _decode_route(msgspec.convert(raw, _Route, strict=False))
            for raw in config.routes
        ]
    except DECODE_ERRORS as error:
        return Err(shorten(str(error)))
    by_host: dict[str, list[RouteSpec]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    for host_routes in by_host.values():
        host_routes.sort(key=lambda route: -len(route.path_prefix))
    limits = config.limits
    return Ok(
        Catalog(
            config.version,
            {host: tuple(host_routes) for host, host_routes in by_host.items()},
            {
                ServiceName(service.name): _decode_service(service)
                for service in config.services
            },
            {
                key: CustomerSpec(CustomerId(tenant.name), tenant.priority)
                for tenant in config.tenants or ()
                for key in tenant.api_keys
            },
            CallerLimits(
                limits.max_header_bytes,
                limits.max_body_bytes,
                limits.header_timeout_ms / 1000,
                limits.idle_timeout_ms / 1000,
            ),
            requires_keys=config.tenants is not None,
        )
    )


def _decode_route(raw: _Route) -> RouteSpec:
    shares = tuple(
        ServiceShare(ServiceName(part.service), part.weight)
        for part in raw.traffic_split
    )
    # An unknown kind is treated as the strictest one.
    kind = _KINDS.get(raw.kind, RequestKind.NON_IDEMPOTENT)
    objective_s, pause_s = raw.target_latency_ms / 1000, raw.gap_aim_ms / 1000
    return RouteSpec(
        raw.name,
        raw.host.lower(),
        raw.path_prefix,
        kind,
        raw.timeout_ms / 1000,
        objective_s,
        raw.priority,
        shares or (ServiceShare(ServiceName(raw.service), 1.0),),
        max(1, raw.max_attempts),
        raw.allow_anonymous,
        raw.stream_resume,
        pause_s if kind is RequestKind.STREAM else None,
        max(
            MIN_CALLER_TIMEOUT_S,
            CALLER_TIMEOUT_OBJECTIVES * objective_s,
            CALLER_TIMEOUT_PAUSES * pause_s,
        ),
    )


def _decode_service(raw: _Service) -> ServiceSpec:
    return ServiceSpec(
        ServiceName(raw.name),
        None if raw.engine is None else _decode_engine(raw.engine),
        raw.cold_start_s,
        raw.cold_per_s,
        # Any other text can't stand in a request line.
        raw.health_path if _PATH.fullmatch(raw.health_path or "") else None,
    )


def _decode_engine(raw: _Engine) -> EngineSpec:
    models = tuple(
        ModelSpec(
            ModelName(model.name),
            model.size,
            model.share,
            model.pace,
            model.load_s,
            model.warm_s,
        )
        for model in raw.models
    )
    return EngineSpec(
        raw.slots,
        models,
        raw.stride,
        (DEFAULT_STEP_MS if raw.step_ms is None else raw.step_ms) / 1000,
        raw.per_seq_ms / 1000,
        raw.read_per_s,
        raw.chunk,
        raw.loads_per_s,
        raw.loads_at_once,
        raw.form_ms / 1000,
        raw.keeps,
        raw.step_ms is not None,
    )
