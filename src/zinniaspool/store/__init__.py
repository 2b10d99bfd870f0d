"""The product's own clients of a key-value service and a VM list."""

from zinniaspool.store.budget import BudgetedStore, CallKind
from zinniaspool.store.client import (
    HttpStore,
    LeaseId,
    Store,
    StoreChange,
    StoreFault,
    StoreListing,
    StoreValue,
)
from zinniaspool.store.configurations import (
    AcceptedRoot,
    AcceptFault,
    ConfigurationStore,
    Proposal,
)
from zinniaspool.store.settled import settle_swap
from zinniaspool.store.vmlist import fetch_vm_list

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
