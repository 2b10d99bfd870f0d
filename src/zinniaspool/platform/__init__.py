"""The platform's services as the product meets them: store and VM list."""

from zinniaspool.platform.budget import BudgetedStore, CallKind
from zinniaspool.platform.configurations import (
    AcceptedRoot,
    AcceptFault,
    ConfigurationStore,
    Proposal,
)
from zinniaspool.platform.settled import settle_swap
from zinniaspool.platform.store import (
    HttpStore,
    LeaseId,
    Store,
    StoreChange,
    StoreFault,
    StoreListing,
    StoreValue,
)
from zinniaspool.platform.vmlist import fetch_vm_list

__all__ = [
    "AcceptFault",
    "AcceptedRoot",
    "BudgetedStore",
    "CallKind",
    "ConfigurationStore",
    "HttpStore",
    "LeaseId",
    "Proposal",
    "Store",
    "StoreChange",
    "StoreFault",
    "StoreListing",
    "StoreValue",
    "fetch_vm_list",
    "settle_swap",
]
