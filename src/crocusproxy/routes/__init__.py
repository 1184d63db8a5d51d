"""Routing of requests to services, and the settings of each route."""
