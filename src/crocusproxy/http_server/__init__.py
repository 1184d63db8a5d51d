"""Connections of HTTP servers that end without a loss of responses."""
