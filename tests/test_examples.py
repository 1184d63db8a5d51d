"""Guards against examples that the programs refuse."""

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
def test_an_example_of_settings_is_accepted(model, name):
    settings = read_document(model, FOLDER / f'{name}.yaml')
    assert settings.instance.failure_domain == 'mza-centro'


def test_the_example_of_crocusctl_is_accepted():
    settings = read_tool_settings(str(FOLDER / 'crocusctl.yaml'), '', '')
    assert settings.config and settings.platform
