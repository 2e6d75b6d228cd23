"""Files that are whole or not there."""
