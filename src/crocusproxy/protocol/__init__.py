"""Messages between the programs of the project, and their JSON codec.

A home is an entry instance that dispatches the requests of callers. The view is
the list of all instances and of the upstreams that are leaving.
"""
