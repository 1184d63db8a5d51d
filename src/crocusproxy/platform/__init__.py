"""Adapter to the platform: its store, headers and wire formats.

The platform is the environment of a deployment. It starts the processes, and
its store contains the route configuration and the entries of the upstreams.
"""
