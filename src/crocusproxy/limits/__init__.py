"""Bounds on queues, callers and retries."""
