"""Clients of the platform's key-value service and of its list of VMs."""

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
from zinniaspool.store.settled import swap_and_confirm
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
    "swap_and_confirm",
]
