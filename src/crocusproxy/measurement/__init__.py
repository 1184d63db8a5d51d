"""Load reports, and probes within the operators' budget.

A right is a lease on an equal share of a service's probe budget. A process may
probe only with a right that it holds.
"""
