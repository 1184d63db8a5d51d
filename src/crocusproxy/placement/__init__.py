"""Placement of requests: chooses the upstream and queues excess requests."""
