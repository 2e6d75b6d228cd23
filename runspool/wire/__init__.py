"""Codecs of published protocols: parsing, validation and encoding of messages, without I/O."""
