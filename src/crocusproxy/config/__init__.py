"""The configuration: model, changes, stream state, snapshots and daemon.

Operators append changes to stream ``config``. Each accepted change makes the
next *generation* of the document; a change is valid only against the current
generation, its *base*. The *verdict* of a submission is acceptance or
rejection, and every reader of the stream computes the same one.

The *platform* is the external service that stores streams of records and the
list of instances. One configuration daemon per instance reads the stream and
the *instance view*, a version of that list, from the platform or from another
daemon, and serves both to the programs of its instance.
"""
