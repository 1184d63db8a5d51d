"""Messages between the programs of the project, and their JSON codec."""
