"""The endpoint list on the client side: watch, tracker and stored snapshot."""
