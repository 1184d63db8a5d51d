"""Sources of the two builds that run side by side during an upgrade."""

import subprocess
import tarfile
import tomllib
from io import BytesIO
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
CURRENT_SOURCE = ROOT / 'src'
#: The description of the system, which names the build in production.
SYSTEM = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())


def extract_source(commit, folder):
    """Extract the packages of a commit into ``folder`` and return their path.

    The test fails if the commit is missing, as in a shallow clone.
    """
    archive = subprocess.run(
        ('git', 'archive', '--format=tar', commit, 'src'),
        cwd=ROOT,
        capture_output=True,
    )
    if archive.returncode:
        pytest.fail(
            f'no commit {commit} (production in deploy/system.toml) in this '
            'clone; a shallow one lacks it: run git fetch --unshallow. git: '
            f'{archive.stderr.decode().strip()}'
        )
    with tarfile.open(fileobj=BytesIO(archive.stdout)) as content:
        content.extractall(folder, filter='data')
    return Path(folder) / 'src'
