"""The mechanics of one front, free of I/O: the scheduler driver, interned names, platform settings."""
