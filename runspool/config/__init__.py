"""What a front is told at its start: Jsonnet templates, evaluated, checked, and turned into house terms."""

from runspool.config.loader import ConfigFault, InvalidConfigError, read_terms, terms_of
from runspool.config.schema import Bounds, EnginesTerms, FrontConfig, FrontTerms, ListTerms

__all__ = [
    "Bounds",
    "ConfigFault",
    "EnginesTerms",
    "FrontConfig",
    "FrontTerms",
    "InvalidConfigError",
    "ListTerms",
    "read_terms",
    "terms_of",
]
