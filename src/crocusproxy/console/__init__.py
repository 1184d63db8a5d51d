"""The operators' forms."""
