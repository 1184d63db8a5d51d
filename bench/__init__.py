"""Benchmarks whose bounds are ratios or counts, never times."""
