"""The endpoint list as followed by a front: its tracker, its stored snapshot, and the watch that feeds both."""
