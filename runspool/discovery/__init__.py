"""The endpoint list as a front follows it: its tracker, stored snapshot, and the watch that feeds both."""
