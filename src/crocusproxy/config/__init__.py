"""The configuration: model, changes, fold, snapshots and daemon."""
