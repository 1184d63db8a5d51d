"""The configuration: model, changes, stream state, snapshots and daemon."""
