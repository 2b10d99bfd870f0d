"""What callers and instances state with requests and answers."""

from dataclasses import dataclass

from zinniaspool.core.ids import ModelName, PromptPartId, RequestId

__all__ = ["InstanceLoad", "InstanceNotice", "RequestTerms"]


@dataclass(frozen=True, slots=True)
class RequestTerms:
    """What a caller states about its request.

    Attributes:
        id: Request id; each attempt of a caller has its own.
        timeout_s: How long the caller waits, or None.
        model: The requested model, or None for a plain call.
        prompt_tokens: Length of the prompt.
        max_output_tokens: Length of the longest answer.
        expected_tokens: The caller's estimate of the answer's length.
        resume_after: Id of the last event that the caller has, or None.
        prompt_parts: The parts of the prompt, in order.
    """

    id: RequestId
    timeout_s: float | None
    model: ModelName | None
    prompt_tokens: int
    max_output_tokens: int
    expected_tokens: int | None
    resume_after: int | None
    prompt_parts: tuple[PromptPartId, ...] = ()


@dataclass(frozen=True, slots=True)
class InstanceLoad:
    """The load that an instance reports with an answer.

    Attributes:
        running: Requests that run at the instance.
        waiting: Requests that wait there.
        slots: Requests that it runs at a time.
    """

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class InstanceNotice:
    """What an answer asks of the process that sent the request.

    Attributes:
        limit_per_s: Requests a second that the instance accepts from all
            processes, or None.
        pause_s: Time for which it wants no requests from this VM, in seconds,
            or None.
        leaving: Whether the instance is leaving.
    """

    limit_per_s: float | None = None
    pause_s: float | None = None
    leaving: bool = False
