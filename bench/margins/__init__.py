"""Times within which real processes keep their bounds, as distributions."""
