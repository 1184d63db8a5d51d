"""Loads the deployment on loopback of `review/lib`, which is no package."""

import importlib.util
from pathlib import Path
from types import ModuleType

_PATH = Path(__file__).resolve().parents[2] / 'review/lib/bed.py'


def _load() -> ModuleType:
    spec = importlib.util.spec_from_file_location('review_bed', _PATH)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


bed = _load()


def select_tree(tree: Path) -> None:
    """Start further instances from the build and deploy file of ``tree``."""
    bed.ROOT = tree
