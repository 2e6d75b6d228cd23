"""The command line interface of the package."""
