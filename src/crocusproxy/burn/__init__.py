"""Service-level objectives and the rate at which budgets burn."""
