"""HTTP clients for engines: connection pool, request and response exchanges, classification of failures."""
