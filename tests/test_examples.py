"""Guards against example files that the programs reject."""

from pathlib import Path

import pytest

from crocusproxy.cli.system import read_tool_settings
from crocusproxy.config.settings import ConfigSettings
from crocusproxy.console.settings import ConsoleSettings
from crocusproxy.documents import read_document
from crocusproxy.entry.settings import EntrySettings
from crocusproxy.locator.settings import LocatorSettings
from crocusproxy.proxy.settings import ProxySettings

FOLDER = Path('examples')


@pytest.mark.parametrize(
    ('model', 'name'),
    [
        (ConfigSettings, 'config'),
        (ConsoleSettings, 'console'),
        (EntrySettings, 'entry'),
        (LocatorSettings, 'locator'),
        (ProxySettings, 'proxy'),
    ],
)
def test_example_settings_are_accepted(model, name):
    settings = read_document(model, FOLDER / f'{name}.yaml')
    assert settings.instance.failure_domain == 'mza-centro'


def test_example_settings_of_crocusctl_are_accepted():
    settings = read_tool_settings(str(FOLDER / 'crocusctl.yaml'), '', '')
    assert settings.config and settings.platform
