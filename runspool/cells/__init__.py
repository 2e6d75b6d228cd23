"""Tenants confined to parts of the fleet: the map, the placing of engines, moves, a front's rulings."""
