"""The platform's front node: its protocol in and out, its start, signals and limits."""
