"""Benchmarks that check ratios, never times."""
