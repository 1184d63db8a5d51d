"""A soak test: entry processes under random external faults."""
