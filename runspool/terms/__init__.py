"""What a front is told at its start: Jsonnet templates, evaluated, checked, and turned into house terms."""

from runspool.terms.checked import Bounds, EnginesTerms, FrontTerms, ListTerms, Terms
from runspool.terms.reading import Fault, Unreadable, read_terms, terms_of

__all__ = [
    "Bounds",
    "EnginesTerms",
    "Fault",
    "FrontTerms",
    "ListTerms",
    "Terms",
    "Unreadable",
    "read_terms",
    "terms_of",
]
