"""Cells confine tenants to parts of the fleet: the cell map, engine placement, migration and admission."""
