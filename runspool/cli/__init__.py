"""The command line: thin, with exit codes that mean something."""
