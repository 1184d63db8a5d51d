"""Lookup of the route and service of a request, and the route settings."""
