"""Guards against settings of the platform that the entry process refuses."""

import re
from pathlib import Path

from crocusproxy.documents import read_document
from crocusproxy.entry.settings import EntrySettings

FIELDS = {
    'Node': '"front-1"',
    'Zone': '"mza-centro"',
    'Listen.Front': '"10.1.0.35:8144"',
    'Listen.Directory': '"10.1.0.35:8143"',
    'Listen.Ready': '"10.1.0.35:8140"',
    'Listen.Control': '"10.1.0.35:8146"',
    'IpAddress': '10.1.0.35',
    'InternalPorts.0': '7660',
    'Platform.Address': '"10.200.1.7:8142"',
    'Seeds': '["10.1.0.35:8146"]',
    'Limits.CpuShare': '0.86',
    'Limits.Cores': '1',
    'Limits.MemoryMb': '300',
    'Limits.LinkMbps': '1000.0',
    'Bounds.RetryBudgetRatio': '0.2',
    'Bounds.BudgetSlack': '58',
    'Bounds.BudgetWindowS': '10',
    'Bounds.GraceS': '6',
    'Bounds.ProbesPerS': '60',
    'Bounds.ttl_max_s': '5',
}


def render(fields):
    """Fill the template in as the platform's page describes it."""
    text = Path('deploy/settings.yaml.tmpl').read_text()

    def section(match):
        name, content = match.group(1), match.group(2)
        value = fields.get(name)
        return '' if value is None else content.replace('{{.}}', value)

    text = re.sub(r'\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}', section, text)
    return re.sub(
        r'\{\{([\w.]+)(?:\|json)?\}\}',
        lambda match: fields.get(match.group(1), ''),
        text,
    )


def load(tmp_path, fields):
    path = tmp_path / 'settings.yaml'
    path.write_text(render(fields))
    return read_document(EntrySettings, path)


def test_template_gives_settings_that_are_accepted(tmp_path):
    settings = load(tmp_path, FIELDS)
    assert settings.callers.port == 8144
    assert settings.bounds.shutdown.total_seconds() == 6
    assert settings.bounds.budget_slack == 58


def test_bounds_that_a_deployment_lacks_keep_their_defaults(tmp_path):
    fields = {
        name: value
        for name, value in FIELDS.items()
        if name not in {'Bounds.ProbesPerS', 'Bounds.ttl_max_s'}
    }
    settings = load(tmp_path, fields)
    assert settings.bounds.probes_per_second == 20
