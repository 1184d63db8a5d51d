"""The daemon that forwards requests to upstreams."""
