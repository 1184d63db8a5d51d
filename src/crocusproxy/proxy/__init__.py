"""The daemon that forwards requests to upstreams.

A few instances, the homes of a service, dispatch its requests; the other
instances forward them to a home. A keyed request carries an idempotency key:
it is claimed in a shared ledger before it is sent, and runs at most once.
A refusal is an error response of the proxy itself, with an error code and an
outcome: whether the request did not run, failed or may have run.
"""
