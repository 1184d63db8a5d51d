"""Messages between the project's own processes and their JSON codec."""
