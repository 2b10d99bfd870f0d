"""Validation of the inventory and the rules, separately and together."""

from zinniaspool.core.validation.configuration import validate_configuration
from zinniaspool.core.validation.inventory import check_inventory
from zinniaspool.core.validation.problems import Problem, ProblemFile, is_address
from zinniaspool.core.validation.rules import check_rules

__all__ = [
    "Problem",
    "ProblemFile",
    "check_inventory",
    "check_rules",
    "is_address",
    "validate_configuration",
]
