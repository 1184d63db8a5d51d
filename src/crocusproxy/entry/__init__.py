"""The daemon ``crocus-entry``: serves callers and dispatches to upstreams.

One instance, the home, dispatches the requests of all instances; the others
forward theirs to it. The directory port returns the home's address to callers.
"""
