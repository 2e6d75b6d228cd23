"""TCP connections, as thin as a token that passes through wants them."""
