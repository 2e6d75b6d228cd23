"""runspool: a router for language-model serving with reading and writing on separate engines."""
