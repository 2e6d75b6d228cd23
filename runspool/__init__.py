"""runspool: a router for language-model serving with prefill and decode on separate engines."""
