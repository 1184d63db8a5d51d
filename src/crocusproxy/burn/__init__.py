"""Service-level objectives: window counts, burn rates and error budgets.

A burn rate is the share of bad requests relative to the share that the
objective allows.
"""
