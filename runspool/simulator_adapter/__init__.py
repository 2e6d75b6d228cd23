"""Adapter that runs many isolated schedulers in one process under the benchmark's fleet simulator."""
