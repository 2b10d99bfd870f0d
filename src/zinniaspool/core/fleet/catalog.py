"""The active rules: routes, services, customers and callers' limits."""

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
    """How often a route's requests may run, and how they are answered."""

    IDEMPOTENT = "idempotent"
    """The request may run more than once."""

    NON_IDEMPOTENT = "non-idempotent"
    """The request must run at most once."""

    STREAM = "stream"
    """The answer is a stream of server-sent events. The request is repeated
    only on a route whose streams may resume."""


@dataclass(frozen=True, slots=True)
class ModelSpec:
    """A model that replica groups of one service serve.

    Attributes:
        name: The model's name.
        size: Number of VMs in a group.
        initial_share: The model's part of the service's requests when the
            service starts.
        time_factor: Factor on all times that a group of this model takes.
        load_s: Seconds to load the model from the weight store.
        warm_load_s: Seconds to load the model from the host's own memory.
    """

    name: ModelName
    size: int
    initial_share: float
    time_factor: float
    load_s: float
    warm_load_s: float


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """The capacity and timing of a service's engines, as operators give them.

    Attributes:
        slots: Number of requests that a group runs at a time.
        models: The models that the service's groups serve.
        steps_per_pass: Token steps in one pass.
        step_s: Seconds of a token step without requests.
        step_per_request_s: Seconds that each running request adds to a step.
        prefill_tokens_per_s: Prompt tokens that a group reads per second.
        prefill_chunk_tokens: Largest number of prompt tokens that a group
            reads within one step.
        loads_per_s: Loads from the weight store that may start per second.
        full_speed_loads: Number of parallel loads beyond which each load
            takes longer.
        form_s: Seconds from the order to open a group until it serves.
        max_staged_models: Models that a VM's host keeps in its memory.
        is_timed: Whether the operator states the time of a step.
    """

    slots: int
    models: tuple[ModelSpec, ...]
    steps_per_pass: int
    step_s: float
    step_per_request_s: float
    prefill_tokens_per_s: float
    prefill_chunk_tokens: int
    loads_per_s: float
    full_speed_loads: int
    form_s: float
    max_staged_models: int
    is_timed: bool = True

    def find_model(self, name: ModelName) -> ModelSpec | None:
        """Return the specification of a model, or None if it is unknown."""
        return next((model for model in self.models if model.name == name), None)


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service of the configuration.

    Attributes:
        name: Its name.
        engine: Its engines; None for a plain service without models.
        cold_start_s: How long its upstreams are cold after a start, in
            seconds.
        cold_per_s: Requests a second that a cold one takes; 0 if that is not
            limited.
        health_path: Path at which its instances answer whether they are
            healthy and not leaving; None if they don't.
    """

    name: ServiceName
    engine: EngineSpec | None = None
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0
    health_path: str | None = None


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service's weight among the services that share a route."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class RouteSpec:
    """Where the requests of one path go, and which limits apply to them.

    Attributes:
        name: The operator's name for the route.
        host: The host whose requests it matches, in lower case.
        path_prefix: The start of the paths that it matches.
        kind: How often its requests may run, and how they are answered.
        timeout_s: Longest time to keep a caller waiting.
        objective_s: Latency objective, to the first event of a stream.
        priority: 0 is the most urgent.
        shares: The services that share its requests; at least one.
        max_attempts: Largest number of upstreams that one request may be
            sent to.
        allows_anonymous: Whether requests need no key.
        resumable: Whether a stream may continue at another upstream.
        max_pause_s: Longest pause between a stream's events that is still on
            time; None for requests that are not streams.
        caller_timeout_s: Seconds without an event after which callers give
            up a stream.
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
    allows_anonymous: bool
    resumable: bool
    max_pause_s: float | None = None
    caller_timeout_s: float = 2.0

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run may be sent again."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class CustomerSpec:
    """A customer; its priority, if it has one, replaces the route's."""

    name: CustomerId
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on callers: sizes in bytes and times in seconds."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class Catalog:
    """One version of the rules.

    Attributes:
        version: Increases with each change.
        routes: The routes of each host, those with the longest prefix first.
        services: The services by name.
        customers: The customers by API key; empty if no keys are required.
        limits: Limits on callers.
        requires_keys: Whether any requests need a key.
    """

    version: int
    routes: Mapping[str, tuple[RouteSpec, ...]]
    services: Mapping[ServiceName, ServiceSpec]
    customers: Mapping[str, CustomerSpec] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()
    requires_keys: bool = False

    def find_route(self, host: str, path: str) -> RouteSpec | None:
        """Return the route with the longest matching prefix, or None."""
        for route in self.routes.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_longest_timeouts(self) -> dict[ServiceName, float]:
        """Return the longest timeout of each service's routes, in seconds."""
        longest: dict[ServiceName, float] = {}
        for routes in self.routes.values():
            for route in routes:
                for share in route.shares:
                    known_s = longest.get(share.service, 0.0)
                    longest[share.service] = max(known_s, route.timeout_s)
        return longest
