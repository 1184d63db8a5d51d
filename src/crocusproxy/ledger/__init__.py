"""Claims: the records that let a non-idempotent request run at most once.

A claim reserves a request's key, a void releases it, and a completion records
that the request ran.
"""
