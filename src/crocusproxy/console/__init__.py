"""Web console in which operators change the configuration.

A home is an instance that dispatches the requests of a service for the others.
"""
