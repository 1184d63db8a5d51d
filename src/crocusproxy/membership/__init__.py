"""Members of the system, the election of the home, and homes of services.

The home is the elected instance that dispatches for the others. The homes of a
service are the live instances that rendezvous hashing selects for it.
"""
