"""The daemon ``crocus-locator``, which returns the addresses of a service.

The homes of a service are the instances to which callers send its requests.
The older balancer of a service is the load balancer that is being replaced; it
still receives a share of the callers.
"""
