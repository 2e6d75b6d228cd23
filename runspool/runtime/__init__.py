"""Runtime of one front, free of I/O: the scheduler driver, interned names and platform settings."""
