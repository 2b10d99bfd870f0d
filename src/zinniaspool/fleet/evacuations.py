"""The operator's evacuation orders, as the mirrored store has them."""

from collections.abc import Callable, Iterable

import structlog

from zinniaspool.core.fleet import MirrorChange
from zinniaspool.core.ids import FailureDomainId
from zinniaspool.fleet.listeners import call_listeners

__all__ = ["EvacuationListener", "EvacuationOrders"]

_log = structlog.get_logger(__name__)

EvacuationListener = Callable[
    [frozenset[FailureDomainId], frozenset[FailureDomainId]], None
]
"""Called with the failure domains whose evacuation began and ended."""


class EvacuationOrders:
    """The failure domains whose upstreams must get no requests.

    Args:
        prefix: Prefix of the orders' keys; the rest names the failure domain.

    Attributes:
        domains: Those failure domains.
        listeners: Called after they have changed.
    """

    def __init__(self, prefix: str) -> None:
        self.domains: frozenset[FailureDomainId] = frozenset()
        self.listeners: list[EvacuationListener] = []
        self._prefix = prefix

    def apply_changes(
        self,
        changes: Iterable[MirrorChange],
        knows_domain: Callable[[FailureDomainId], bool],
    ) -> None:
        """Apply the mirror's changes and call the listeners.

        Args:
            changes: Changes of any keys.
            knows_domain: Returns whether anything is known to be in a failure
                domain.
        """
        before, domains = self.domains, set(self.domains)
        for change in changes:
            if not change.key.startswith(self._prefix):
                continue
            domain = FailureDomainId(change.key.removeprefix(self._prefix))
            if change.after is None:
                domains.discard(domain)
            else:
                domains.add(domain)
        self.domains = frozenset(domains)
        began, ended = self.domains - before, before - self.domains
        if not began and not ended:
            return
        for domain in sorted(began):
            _log.info("evacuation-began", domain=domain)
            if not knows_domain(domain):
                _log.warning("evacuation-domain-unknown", domain=domain)
        for domain in sorted(ended):
            _log.info("evacuation-ended", domain=domain)
        call_listeners(self.listeners, began, ended)
