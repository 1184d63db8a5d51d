"""Load balancing of crocus-entry: places or queues each request.

The choice depends on the expected service times and the target latency; the
package routing holds the balancer of crocus-proxy.
"""
