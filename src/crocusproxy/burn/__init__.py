"""Service-level objectives: window counts, burn rates and error budgets.

A request is good if it ends within the time of the objective and without an
error of the proxy or the server; otherwise it is bad.

A burn rate is the share of bad requests relative to the share that the
objective allows.
"""
