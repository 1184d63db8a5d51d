"""The daemon ``crocus-locator``, which returns the addresses of a service.

The homes of a service are the instances to which callers send its requests.
"""
