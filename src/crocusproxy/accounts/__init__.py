"""Client accounts: authentication by API keys."""
