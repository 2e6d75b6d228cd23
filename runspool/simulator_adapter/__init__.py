"""The bench adapter: many isolated fronts on one pair of pipes."""
