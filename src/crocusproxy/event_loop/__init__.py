"""Observation of the event loop on which a program runs."""
