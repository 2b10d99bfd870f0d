"""The rules in force: routes, services, customers and callers' limits."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from zinniaspool.core.ids import CustomerId, ModelName, ServiceName

__all__ = [
    "CallerLimits",
    "Catalog",
    "CustomerSpec",
    "EngineSpec",
    "ModelSpec",
    "RequestKind",
    "RouteSpec",
    "ServiceShare",
    "ServiceSpec",
]


class RequestKind(Enum):
    """What a route's requests allow."""

    IDEMPOTENT = "idempotent"
    """May run more than once."""

    NON_IDEMPOTENT = "non-idempotent"
    """Runs at most once."""

    STREAM = "stream"
    """Answered by server-sent events; repeated only where it may resume."""


@dataclass(frozen=True, slots=True)
class ModelSpec:
    """A model that replica groups of one service serve.

    Attributes:
        name: The model.
        size: VMs in a group.
        share: Its part of the service's requests when the service starts.
        pace: Factor on every time that a group of it takes.
        load_s: Seconds from the weight store.
        warm_s: Seconds from the host's own memory.
    """

    name: ModelName
    size: int
    share: float
    pace: float
    load_s: float
    warm_s: float


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """How a service's engines work, by the operator's figures.

    Attributes:
        slots: Requests that a group runs at a time.
        models: What its groups serve.
        stride: Token steps in one pass.
        step_s: Seconds of a token step without requests.
        step_per_request_s: Seconds more a step for each running request.
        prefill_tokens_per_s: Prompt tokens read a second.
        chunk: Most prompt tokens read within one step.
        loads_per_s: Loads from the weight store that may start a second.
        loads_at_once: Loads beyond which each takes longer.
        form_s: Seconds from an open order until the group serves.
        staged_kept: Models that a VM's host keeps in its memory.
    """

    slots: int
    models: tuple[ModelSpec, ...]
    stride: int
    step_s: float
    step_per_request_s: float
    prefill_tokens_per_s: float
    chunk: int
    loads_per_s: float
    loads_at_once: int
    form_s: float
    staged_kept: int

    def find_model(self, name: ModelName) -> ModelSpec | None:
        """Return a model's figures, or None for an unknown one."""
        return next((one for one in self.models if one.name == name), None)


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service and, where models answer for it, their engines."""

    name: ServiceName
    engine: EngineSpec | None = None


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service's weight among those that share one route."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class RouteSpec:
    """Where requests of one path go and what binds them.

    Attributes:
        name: The operator's name for it.
        host: Which host's requests it takes, in lower case.
        path_prefix: Which paths.
        kind: What its requests allow.
        timeout_s: Longest time to keep a caller waiting.
        objective_s: Latency objective, to the first event of a stream.
        priority: 0 is the most urgent.
        shares: Services that share its requests; one at least.
        max_attempts: Most upstreams that one request may be sent to.
        anonymous: Whether requests need no key.
        resumable: Whether a stream may go on at another upstream.
        pause_s: Longest pause between a stream's events that is still on
            time; None for what is no stream.
        silence_s: Silence after which callers leave a stream.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    timeout_s: float
    objective_s: float
    priority: int
    shares: tuple[ServiceShare, ...]
    max_attempts: int
    anonymous: bool
    resumable: bool
    pause_s: float | None = None
    silence_s: float = 2.0

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run can be sent again."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class CustomerSpec:
    """A customer and its rank, where it has one of its own."""

    name: CustomerId
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What callers may send, in bytes, and how long they may take."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class Catalog:
    """One version of the rules.

    Attributes:
        version: Increases with each change.
        routes: Of each host, the longest prefix first.
        services: By name.
        customers: By key; empty where no key is asked for.
        limits: What callers may do.
        asks_keys: Whether requests need a key at all.
    """

    version: int
    routes: Mapping[str, tuple[RouteSpec, ...]]
    services: Mapping[ServiceName, ServiceSpec]
    customers: Mapping[str, CustomerSpec] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()
    asks_keys: bool = False

    def find_route(self, host: str, path: str) -> RouteSpec | None:
        """Return the route of the longest matching prefix, or None."""
        for route in self.routes.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None
