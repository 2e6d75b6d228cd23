"""Following the list of engines: what its news say, what was last known, the watch that feeds both."""
