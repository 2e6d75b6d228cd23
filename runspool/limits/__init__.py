"""What a peer may make this process store, compute or wait for: names, accounts and definitions."""
