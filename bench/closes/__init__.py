"""Losses of requests when connections close, on any checkout."""
