"""What callers and instances say with requests and answers."""

from dataclasses import dataclass

from zinniaspool.core.ids import ModelName, RequestId

__all__ = ["CallerTerms", "InstanceLoad"]


@dataclass(frozen=True, slots=True)
class CallerTerms:
    """What a caller says of its request.

    Attributes:
        id: Each attempt of a caller has its own.
        patience_s: How long the caller waits, or None.
        model: Which model, or None for a plain call.
        prompt_tokens: Length of the prompt.
        most_output_tokens: Longest answer.
        expected_tokens: The caller's estimate of the answer's length.
        resume_after: The last event that it has, or None.
    """

    id: RequestId
    patience_s: float | None
    model: ModelName | None
    prompt_tokens: int
    most_output_tokens: int
    expected_tokens: int | None
    resume_after: int | None


@dataclass(frozen=True, slots=True)
class InstanceLoad:
    """What an instance says with an answer: requests there, and its slots."""

    running: int
    waiting: int
    slots: int
