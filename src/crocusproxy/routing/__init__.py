"""Load balancing of crocus-proxy: the choice of an upstream for each request.

The homes of a service are the instances that dispatch its requests. Each home
has its own balancer, which knows the load of the others by reports only. The
older balancer is the one being replaced; it still sends to the same upstreams.
crocus-entry uses only the crash detection of this package.
"""
