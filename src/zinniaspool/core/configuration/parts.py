"""A configuration is kept in the store as parts under one small root.

Each part is stored under the hash of its content, so a part that was read
once never becomes stale. The parts are written before the root that names
them is swapped, so the swap of the root accepts a change of many parts at
once.
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
    "hash_parts",
    "join_parts",
    "make_history_key",
    "split_parts",
]

_T = TypeVar("_T")

ROOT_KEY = "config/root"
"""Store key of the root of the accepted configuration."""
PART_PREFIX = "config/parts/"
"""Prefix of the store keys of parts; the hash of the content follows."""
HISTORY_PREFIX = "config/history/"
"""Prefix of the store keys of past roots; the revision follows."""
_HASH_LENGTH = 32
"""Hexadecimal digits of a hash, 128 bits: no two contents share a hash."""
_REVISION_DIGITS = 16
"""Digits of a revision in a key, so that keys sort by revision."""


class _Kind(Enum):
    """What a part describes; the first component of its name."""

    FLEET = "fleet"
    CUSTOMER = "customer"
    MODEL = "model"
    SERVICE = "service"
    FABRIC = "fabric"


class Root(msgspec.Struct, frozen=True):
    """Names the parts of one configuration.

    Attributes:
        tag: Unique to the write, so that an operator whose response was lost
            can find out whether the write took effect.
        author: Operator who applied the configuration.
        parts: Hash of each part's content, by the part's name.
        base: Revision of the root that this one replaced; 0 for none.
        number: Number of changes accepted so far, including this one.
        reason: Description of the change for operators; empty for a plain
            apply.
        applied_at: Seconds since the Unix epoch, by the operator's clock.
    """

    tag: str
    author: str
    parts: dict[PartName, PartHash]
    base: Revision = Revision(0)
    number: int = 1
    reason: str = ""
    applied_at: float = 0.0


def encode_root(root: Root) -> str:
    """Encode a root as it is written to the store."""
    return msgspec.json.encode(root, order="sorted").decode()


def decode_root(value: str) -> Root:
    """Decode a root from a value of the store.

    Raises:
        msgspec.MsgspecError: The value is not a root.
    """
    return msgspec.json.decode(value, type=Root)


def make_history_key(revision: Revision) -> str:
    """Return the store key of the root of a past revision."""
    return f"{HISTORY_PREFIX}{revision:0{_REVISION_DIGITS}}"


def hash_content(content: str) -> PartHash:
    """Return the hash under which a content is stored."""
    digest = hashlib.sha256(content.encode()).hexdigest()
    return PartHash(digest[:_HASH_LENGTH])


def split_parts(configuration: Configuration) -> dict[PartName, str]:
    """Return the content of each part of a configuration.

    A change to one customer, model, service or fabric domain changes one
    part. All other rules together are one part.
    """
    rules = configuration.rules
    other_rules = replace(rules, customers=(), models=(), services=())
    parts = {_make_part_name(_Kind.FLEET, "rules"): _encode(other_rules)}
    for customer in rules.customers:
        parts[_make_part_name(_Kind.CUSTOMER, customer.id)] = _encode(customer)
    for model in rules.models:
        parts[_make_part_name(_Kind.MODEL, model.name)] = _encode(model)
    for service in rules.services:
        parts[_make_part_name(_Kind.SERVICE, service.name)] = _encode(service)
    for domain in {vm.fabric_domain for vm in configuration.inventory.vms}:
        vms = [vm for vm in configuration.inventory.vms if vm.fabric_domain == domain]
        vms.sort(key=lambda vm: vm.id)
        parts[_make_part_name(_Kind.FABRIC, domain)] = _encode(vms)
    return parts


def hash_parts(contents: Mapping[PartName, str]) -> dict[PartName, PartHash]:
    """Return the hash of each part's content, as a root names it."""
    return {name: hash_content(content) for name, content in contents.items()}


def join_parts(
    parts: Mapping[PartName, PartHash], contents: Mapping[PartHash, str]
) -> Configuration:
    """Return the configuration that consists of the given parts.

    Its customers, models, services and VMs are sorted by name.

    Args:
        parts: Hash of each part's content, by the part's name.
        contents: Contents by their hash.

    Raises:
        KeyError: A part is missing.
        msgspec.MsgspecError: A part's content can't be decoded.
    """
    fleet = contents[parts[_make_part_name(_Kind.FLEET, "rules")]]
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
        for name in _select_names(parts, kind)
    )


def _select_names(names: Iterable[PartName], kind: _Kind) -> list[PartName]:
    return sorted(name for name in names if name.startswith(f"{kind.value}/"))


def _make_part_name(kind: _Kind, key: str) -> PartName:
    return PartName(f"{kind.value}/{key}")


def _encode(value: object) -> str:
    return msgspec.json.encode(value, order="sorted").decode()
