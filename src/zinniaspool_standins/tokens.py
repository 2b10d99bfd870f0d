"""What a stand-in engine generates: a function of the prompt alone.

Every engine gives the same tokens for a prompt, so a stream can be resumed
at another engine and a caller can tell its own answer from another's.
"""

import msgspec

__all__ = [
    "DONE_EVENT",
    "GenerateCall",
    "make_event",
    "make_stream",
    "make_text",
    "make_token",
]

DONE_EVENT = b"event: done\ndata: {}\n\n"


class GenerateCall(msgspec.Struct):
    """Body of ``POST /generate``."""

    prompt: str
    max_tokens: int = 8
    stream: bool = False


def make_token(call: GenerateCall, k: int) -> str:
    """Return the token at a position from 0."""
    words = call.prompt.split() or ["-"]
    return f"{words[k % len(words)]}{k}"


def make_text(call: GenerateCall) -> str:
    """Return the whole text."""
    return " ".join(make_token(call, k) for k in range(call.max_tokens))


def make_event(call: GenerateCall, k: int) -> bytes:
    """Return the server-sent event of the token at a position from 0."""
    return f"id: {k + 1}\ndata: {make_token(call, k)}\n\n".encode()


def make_stream(call: GenerateCall) -> bytes:
    """Return the whole body of a streamed answer."""
    events = b"".join(make_event(call, k) for k in range(call.max_tokens))
    return events + DONE_EVENT
