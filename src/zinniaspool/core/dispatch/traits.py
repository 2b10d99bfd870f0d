"""Identifies the traits of requests: what several requests may have in common.

Callers renew the ids of their requests, and may renew their contents too. What
crashes upstreams is looked for among the traits, from the narrowest on.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from functools import lru_cache
from hashlib import blake2b

from zinniaspool.core.fleet import InstanceIncarnation
from zinniaspool.core.ids import ContentId, PromptPartId, TraitId

__all__ = [
    "TraitKind",
    "TraitTerms",
    "find_kind",
    "find_rank",
    "find_terms",
    "identify_traits",
    "rank_for_trial",
]

MAX_PARTS = 64
"""Parts of a prompt that are looked at, so that a caller can't fill the memory
with parts."""

MAX_NAME_CHARS = 32
"""Longest name that becomes a part of a trait's id as it is."""

DIGEST_BYTES = 8
"""Length of the digests of other names, and of ranks, in bytes."""


MAX_CACHED_KINDS = 16384
"""Traits whose kinds are cached."""


@dataclass(frozen=True, slots=True)
class TraitTerms:
    """How much evidence quarantines a trait of one kind.

    The more requests share a trait, the more of them a false quarantine hits.

    Attributes:
        min_crashes: Upstreams that must crash while they have the trait before
            it is suspected.
        quiet_s: Time without an answer after the first of these crashes before
            a trait that was answered before is suspected, in seconds.
        hold_s: Time for which it is quarantined, in seconds.
        min_trials: Upstreams that must also crash in a trial; one more if it
            was answered shortly before.
    """

    min_crashes: int
    quiet_s: float
    hold_s: float
    min_trials: int


class TraitKind(Enum):
    """The kinds of traits, from the narrowest to the widest."""

    CONTENT = "content"
    """The whole request but its id."""

    PART = "part"
    """A part of its prompt."""

    CUSTOMER = "customer"
    """Who sent it. A caller can renew everything else."""


_KINDS = {kind.value: kind for kind in TraitKind}
_RANKS = {kind: rank for rank, kind in enumerate(TraitKind)}

_TERMS = {
    TraitKind.CONTENT: TraitTerms(3, 1.0, 600.0, min_trials=0),
    TraitKind.PART: TraitTerms(3, 1.0, 600.0, min_trials=1),
    TraitKind.CUSTOMER: TraitTerms(8, 10.0, 60.0, min_trials=1),
}


def identify_traits(
    content: ContentId, parts: Iterable[PromptPartId], customer: str | None
) -> tuple[TraitId, ...]:
    """Return the traits of a request, the narrowest first.

    Args:
        content: Its content.
        parts: The parts of its prompt.
        customer: The customer that sent it, or None.
    """
    names = dict.fromkeys(list(parts)[:MAX_PARTS])
    traits = [TraitId(content)]
    traits += [_make_trait(TraitKind.PART, name) for name in names]
    if customer is not None:
        traits.append(_make_trait(TraitKind.CUSTOMER, customer))
    return tuple(traits)


@lru_cache(maxsize=MAX_CACHED_KINDS)
def find_kind(trait: TraitId) -> TraitKind:
    """Return the kind of a trait."""
    return _KINDS.get(trait.partition("-")[0], TraitKind.CONTENT)


def find_terms(trait: TraitId) -> TraitTerms:
    """Return how much evidence quarantines a trait."""
    return _TERMS[find_kind(trait)]


def find_rank(trait: TraitId) -> int:
    """Return the rank of a trait's kind; the narrowest kind has rank 0."""
    return _RANKS[find_kind(trait)]


def rank_for_trial(trait: TraitId, incarnation: InstanceIncarnation) -> bytes:
    """Return the rank of an upstream for the trial of a trait.

    The upstream with the highest rank is used, so that the choice is the same
    wherever it is made, and differs by trait.
    """
    text = f"{trait}\0{incarnation.instance}\0{incarnation.started_at_ms}"
    return blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()


def _make_trait(kind: TraitKind, name: str) -> TraitId:
    # Ids of traits stand in log lines and in keys of the store.
    if len(name) > MAX_NAME_CHARS or not (name.isascii() and name.isalnum()):
        name = "x" + blake2b(name.encode(), digest_size=DIGEST_BYTES).hexdigest()
    return TraitId(f"{kind.value}-{name}")
