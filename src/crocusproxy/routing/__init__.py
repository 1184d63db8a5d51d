"""Load balancing: the choice of an upstream for each request."""
