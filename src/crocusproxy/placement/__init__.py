"""Which upstream of a service gets a request, and when."""
