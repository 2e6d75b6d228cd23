"""Scheduling decisions of a front, free of I/O, and the types that connect them to the rest of the front."""
