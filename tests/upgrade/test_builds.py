"""Guards against archives that write outside of their folder."""

import tarfile
from io import BytesIO

import pytest

from .builds import unpack


def archive_of(*members):
    content = BytesIO()
    with tarfile.open(fileobj=content, mode='w') as archive:
        for member, text in members:
            member.size = len(text)
            archive.addfile(member, BytesIO(text))
    return content.getvalue()


def make_member(name, kind=tarfile.REGTYPE, link=''):
    member = tarfile.TarInfo(name)
    member.type = kind
    member.linkname = link
    return member


def test_files_and_folders_are_written(tmp_path):
    archive = archive_of(
        (make_member('src', tarfile.DIRTYPE), b''),
        (make_member('src/a/b.py'), b'1'),
    )
    unpack(archive, tmp_path)
    assert (tmp_path / 'src' / 'a' / 'b.py').read_bytes() == b'1'


@pytest.mark.parametrize(
    'member',
    [
        make_member('../outside'),
        make_member('/outside'),
        make_member('src/../../outside'),
        make_member('link', tarfile.SYMTYPE, '/etc'),
        make_member('link', tarfile.LNKTYPE, '../outside'),
        make_member('pipe', tarfile.FIFOTYPE),
    ],
)
def test_other_members_are_rejected(member, tmp_path):
    folder = tmp_path / 'inside'
    folder.mkdir()
    with pytest.raises(ValueError, match=member.name):
        unpack(archive_of((member, b'')), folder)
    assert not list(folder.iterdir())
    assert list(tmp_path.iterdir()) == [folder]
