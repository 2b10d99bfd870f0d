"""A configuration as parts in the store under one small root.

Parts are written under the hash of their content before the root that names
them is swapped, so the root's swap is the moment at which a change of many
parts is accepted as one, and a part, once read, never goes stale.
"""

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import replace
from enum import Enum
from typing import TypeVar

import msgspec

from zinniaspool.core.deployment import (
    Configuration,
    CustomerRule,
    Inventory,
    ModelRule,
    Rules,
    ServiceRule,
    Vm,
)
from zinniaspool.core.ids import PartHash, PartName, Revision

__all__ = [
    "HISTORY_PREFIX",
    "PART_PREFIX",
    "ROOT_KEY",
    "PartHash",
    "PartName",
    "Root",
    "decode_root",
    "encode_root",
    "hash_content",
    "history_key",
    "join_parts",
    "name_parts",
    "split_parts",
]

_T = TypeVar("_T")

ROOT_KEY = "config/root"
PART_PREFIX = "config/parts/"
HISTORY_PREFIX = "config/history/"
_HASH_CHARACTERS = 32
"""Characters of a part's name, 128 bits: no two parts share one."""
_REVISION_DIGITS = 16
"""Digits of a revision in a key, so that keys sort by it."""


class _Kind(Enum):
    FLEET = "fleet"
    CUSTOMER = "customer"
    MODEL = "model"
    SERVICE = "service"
    FABRIC = "fabric"


class Root(msgspec.Struct, frozen=True):
    """Names the parts of one configuration.

    Attributes:
        tag: Unique to the write, so that a lost answer can be settled.
        author: The operator who applied it.
        parts: Each part's hash.
        base: Revision of the root that this one replaced; 0 for none.
        number: How many changes were accepted up to this one.
        reason: What the change is, for a person; empty for a plain apply.
        applied_at: Seconds since the epoch, by the operator's clock.
    """

    tag: str
    author: str
    parts: dict[PartName, PartHash]
    base: Revision = Revision(0)
    number: int = 1
    reason: str = ""
    applied_at: float = 0.0


def encode_root(root: Root) -> str:
    """Return a root as it stands in the store."""
    return msgspec.json.encode(root, order="sorted").decode()


def decode_root(value: str) -> Root:
    """Return the root that a value of the store holds.

    Raises:
        msgspec.MsgspecError: It holds none.
    """
    return msgspec.json.decode(value, type=Root)


def history_key(revision: Revision) -> str:
    """Return where the root of a past revision is kept."""
    return f"{HISTORY_PREFIX}{revision:0{_REVISION_DIGITS}}"


def hash_content(content: str) -> PartHash:
    """Return the hash under which a content is kept."""
    digest = hashlib.sha256(content.encode()).hexdigest()
    return PartHash(digest[:_HASH_CHARACTERS])


def split_parts(configuration: Configuration) -> dict[PartName, str]:
    """Return the content of each part of a configuration.

    A change to one customer, model, service or fabric domain changes one
    part; what else the rules hold is one part of its own.
    """
    rules = configuration.rules
    rest = replace(rules, customers=(), models=(), services=())
    parts = {_make_name(_Kind.FLEET, "rules"): _encode(rest)}
    for customer in rules.customers:
        parts[_make_name(_Kind.CUSTOMER, customer.id)] = _encode(customer)
    for model in rules.models:
        parts[_make_name(_Kind.MODEL, model.name)] = _encode(model)
    for service in rules.services:
        parts[_make_name(_Kind.SERVICE, service.name)] = _encode(service)
    for domain in {vm.fabric_domain for vm in configuration.inventory.vms}:
        vms = [vm for vm in configuration.inventory.vms if vm.fabric_domain == domain]
        vms.sort(key=lambda vm: vm.id)
        parts[_make_name(_Kind.FABRIC, domain)] = _encode(vms)
    return parts


def name_parts(contents: Mapping[PartName, str]) -> dict[PartName, PartHash]:
    """Return the hash of each part, as a root names it."""
    return {name: hash_content(content) for name, content in contents.items()}


def join_parts(
    parts: Mapping[PartName, PartHash], contents: Mapping[PartHash, str]
) -> Configuration:
    """Return the configuration that parts make, sorted by name.

    Raises:
        KeyError: A part is missing.
        msgspec.MsgspecError: A part does not hold what it should.
    """
    fleet = contents[parts[_make_name(_Kind.FLEET, "rules")]]
    rules = replace(
        msgspec.json.decode(fleet, type=Rules),
        customers=_decode_all(parts, contents, _Kind.CUSTOMER, CustomerRule),
        models=_decode_all(parts, contents, _Kind.MODEL, ModelRule),
        services=_decode_all(parts, contents, _Kind.SERVICE, ServiceRule),
    )
    domains = _decode_all(parts, contents, _Kind.FABRIC, tuple[Vm, ...])
    vms = sorted((vm for domain in domains for vm in domain), key=lambda vm: vm.id)
    return Configuration(Inventory(tuple(vms)), rules)


def _decode_all(
    parts: Mapping[PartName, PartHash],
    contents: Mapping[PartHash, str],
    kind: _Kind,
    content: type[_T],
) -> tuple[_T, ...]:
    return tuple(
        msgspec.json.decode(contents[parts[name]], type=content)
        for name in _select(parts, kind)
    )


def _select(names: Iterable[PartName], kind: _Kind) -> list[PartName]:
    return sorted(name for name in names if name.startswith(f"{kind.value}/"))


def _make_name(kind: _Kind, key: str) -> PartName:
    return PartName(f"{kind.value}/{key}")


def _encode(value: object) -> str:
    return msgspec.json.encode(value, order="sorted").decode()
