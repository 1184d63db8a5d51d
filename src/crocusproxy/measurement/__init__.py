"""Load reports, and probes within the operators' budget."""
