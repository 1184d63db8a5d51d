"""The daemon that tells callers which addresses to use."""
