"""Files on disk: replaced atomically, checked when read."""
