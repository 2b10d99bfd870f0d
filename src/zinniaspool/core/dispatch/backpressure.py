"""What an instance has asked of this process, and what a cold one can take.

Answers state how many requests a second an instance accepts, or that it wants
no requests for a while. All of it is kept for one
incarnation of the instance, whichever group it heads.
"""

from dataclasses import dataclass

from zinniaspool.core.dispatch.cold import ColdShare
from zinniaspool.core.dispatch.rates import AnnouncedRate

__all__ = ["Backpressure"]


@dataclass(eq=False, slots=True)
class Backpressure:
    """The limits that an instance has set for this process.

    Attributes:
        rate: Rate of requests that it accepts from all processes, or None.
        paused_until: Time until which it wants no requests, in seconds.
        cold: What this process may send while it is cold, or None.
    """

    rate: AnnouncedRate | None = None
    paused_until: float = float("-inf")
    cold: ColdShare | None = None

    def find_opening(self, subset_part: float) -> float:
        """Return when the instance accepts the next request, in seconds.

        Args:
            subset_part: The part of the instance that belongs to the processes
                that report their requests to each other.
        """
        opening = self.paused_until
        if self.rate is not None:
            opening = max(opening, self.rate.find_opening(subset_part))
        if self.cold is not None:
            opening = max(opening, self.cold.find_opening())
        return opening
