"""The laboratory: stand-ins, scripted days, recorders and auditors. No product code imports it."""
