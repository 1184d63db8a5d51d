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
    unpack(archive.stdout, Path(folder))
    return Path(folder) / 'src'


def unpack(archive, folder):
    """Write the files of a tar archive into a folder, and nothing elsewhere.

    Python 3.11.2 has no filters of ``extractall``. Links and devices are
    rejected, as are paths outside of the folder.
    """
    root = folder.resolve()
    with tarfile.open(fileobj=BytesIO(archive)) as content:
        for member in content:
            target = (root / member.name).resolve()
            if not target.is_relative_to(root):
                raise ValueError(f'{member.name} lies outside of the folder')
            if member.isdir():
                target.mkdir(parents=True, exist_ok=True)
            elif member.isfile():
                target.parent.mkdir(parents=True, exist_ok=True)
                target.write_bytes(content.extractfile(member).read())
            else:
                raise ValueError(f'{member.name} is no file and no folder')
