"""Service-level objectives: window counts, burn rates and error budgets."""
