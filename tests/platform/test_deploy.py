"""Guards against platform settings that the entry process rejects."""

import re
from datetime import timedelta
from pathlib import Path

from crocusproxy.documents import read_document
from crocusproxy.entry.settings import EntrySettings

TEMPLATE_VALUES = {
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
    'HeartbeatMs': '1200',
}


def render(template_values):
    """Render the template like the platform does."""
    text = Path('deploy/settings.yaml.tmpl').read_text()

    def section(match):
        name, content = match.group(1), match.group(2)
        value = template_values.get(name)
        return '' if value is None else content.replace('{{.}}', value)

    text = re.sub(r'\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}', section, text)
    return re.sub(
        r'\{\{([\w.]+)(?:\|json)?\}\}',
        lambda match: template_values.get(match.group(1), ''),
        text,
    )


def load(tmp_path, template_values):
    path = tmp_path / 'settings.yaml'
    path.write_text(render(template_values))
    return read_document(EntrySettings, path)


def test_rendered_template_is_accepted(tmp_path):
    settings = load(tmp_path, TEMPLATE_VALUES)
    assert settings.callers.port == 8144
    assert settings.bounds.shutdown.total_seconds() == 6
    assert settings.bounds.budget_slack == 58
    assert settings.bounds.upstream_heartbeat == timedelta(seconds=1.2)


def test_missing_bounds_keep_their_defaults(tmp_path):
    template_values = {
        name: value
        for name, value in TEMPLATE_VALUES.items()
        if name not in {'Bounds.ProbesPerS', 'Bounds.ttl_max_s'}
    }
    settings = load(tmp_path, template_values)
    assert settings.bounds.probes_per_second == 20
