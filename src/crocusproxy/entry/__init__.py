"""One process per instance that takes requests and names addresses."""
