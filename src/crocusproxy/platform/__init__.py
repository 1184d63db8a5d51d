"""Adapter to the platform: its store, headers and field names."""
