"""Runs commands of crocusctl in the process of the test."""

import pytest

from crocusproxy.cli.main import main


@pytest.fixture
def crocusctl(monkeypatch, capsys):
    """Run one command in this process; return its exit code and output."""

    def command(*arguments):
        monkeypatch.setattr('sys.argv', ['crocusctl', *arguments])
        with pytest.raises(SystemExit) as caught:
            main()
        return caught.value.code, capsys.readouterr().out

    return command
