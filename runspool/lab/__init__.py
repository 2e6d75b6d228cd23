"""Test laboratory: stand-in engines and clients, fault scenarios, recordings and their audit.

Code that runs in production does not import this package.
"""
