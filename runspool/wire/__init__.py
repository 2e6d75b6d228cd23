"""Codecs of published protocols: bytes to types and back, without I/O and without decisions."""
