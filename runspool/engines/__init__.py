"""Speaking to engines: pooled connections, the exchanges on them, and the ending of each."""
