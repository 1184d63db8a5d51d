"""Adapter to the platform: its store, headers and wire formats."""
