"""Instances as members, the election of the home, and homes of services.

The home is the elected instance that dispatches for the others. The homes of a
service are the live instances that rendezvous hashing selects for it.

A member is *attached* if it follows the feed of the home, directly or through
another member. The *epoch* increases with each election of a home. *Seeds* are
the configured addresses of instances that a starting instance queries first.
Members call each other on their *internal port*.
"""
