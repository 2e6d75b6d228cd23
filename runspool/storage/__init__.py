"""Files on disk that are replaced atomically and verified by a checksum when read."""
