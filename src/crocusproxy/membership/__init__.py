"""Which instances are live, and which of them are a service's homes."""
