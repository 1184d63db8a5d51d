"""Load balancing: the choice of an upstream for each request.

The homes of a service are the instances that dispatch its requests. Each home
has its own balancer, which knows the load of the others by reports only.
"""
