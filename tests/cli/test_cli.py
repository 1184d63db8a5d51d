"""Guards against commands that exit with the wrong code after a failure."""

import asyncio
import json
from pathlib import Path

import pytest
from aiohttp.test_utils import unused_port

from crocusproxy.cli.main import main
from crocusproxy.config.operator_document import parse_operator_text
from tests.config.running import run, until

EXAMPLE = 'examples/redaccion.yaml'
EXAMPLE_TEXT = Path(EXAMPLE).read_text()


def in_thread(command, *arguments):
    """Run a command in a thread, because it has its own event loop."""
    return asyncio.to_thread(command, *arguments)


@pytest.fixture
def changed_file(tmp_path):
    # By default, fire parses this file name as a number.
    file = tmp_path / '1e5'
    file.write_text(EXAMPLE_TEXT.replace('homes: 3', 'homes: 2'))
    return str(file)


def test_check_needs_no_running_system(crocusctl, tmp_path):
    assert crocusctl('check', EXAMPLE)[0] == 0
    file = tmp_path / 'wrong.yaml'
    file.write_text(EXAMPLE_TEXT.replace('homes: 3', 'homes: 0'))
    code, output = crocusctl('check', str(file), '--json')
    assert code == 2
    assert json.loads(output)['faults'] == [
        {
            'path': 'services.redaccion.homes',
            'expected': 'a number from 1 to 64',
            'found': '0',
            'code': 'out_of_range',
        }
    ]


@pytest.mark.parametrize(
    ('code', 'arguments'),
    [
        (2, ['show']),
        (2, ['check', 'missing.yaml']),
        (2, ['show', '--config', 'localhost:1']),
        (2, ['publish', EXAMPLE, '--platform', '127.0.0.1:1', '--base', 'x']),
        (2, ['publish', EXAMPLE, '--config', '127.0.0.1:1']),
        (2, ['show', '--settings', EXAMPLE]),
        (2, ['history', '--platform', '127.0.0.1:1', '--limit', 'x']),
        (2, ['history', '--platform', '127.0.0.1:1', '--limit=-1']),
        (2, ['no-such-command']),
    ],
)
def test_wrong_input_has_its_own_exit_code(crocusctl, code, arguments):
    assert crocusctl(*arguments)[0] == code


@pytest.mark.parametrize('flag', ['--config', '--platform'])
def test_unreachable_system_has_its_own_exit_code(crocusctl, flag):
    address = f'127.0.0.1:{unused_port()}'
    code, output = crocusctl('show', flag, address, '--json')
    assert code == 3
    assert json.loads(output)['code'] in {
        'not_reachable',
        'platform_unavailable',
    }


def test_help_lists_every_command_and_exit_code(monkeypatch, capsys):
    monkeypatch.setattr('sys.argv', ['crocusctl', '--help'])
    with pytest.raises(SystemExit) as caught:
        main()
    assert caught.value.code == 0
    shown = ''.join(capsys.readouterr())
    for word in ('publish', 'history', 'instances', 'not known yet'):
        assert word in shown


def test_commands_agree_on_the_published_configuration(crocusctl, changed_file):
    async def operate(system):
        platform = ('--platform', system.address)
        daemon = await system.daemon('one')
        system.list_instance('one', daemon.address)
        config = ('--config', daemon.address)

        async def command(*arguments):
            code, output = await in_thread(crocusctl, *arguments, '--json')
            return code, json.loads(output)

        code, first = await command('publish', EXAMPLE, *platform)
        assert (code, first['generation']) == (0, 1)
        code, again = await command('publish', EXAMPLE, *platform)
        assert (code, again['verdict']) == (0, 'unchanged')
        code, conflict = await command(
            'publish', changed_file, *platform, '--base', '0'
        )
        assert (code, conflict['code']) == (1, 'generation_conflict')
        await until(
            daemon,
            lambda feed_cache: (
                feed_cache.document.generation and feed_cache.view.version
            ),
        )
        _, edits = await command('diff', changed_file, *config)
        assert [edit['key'] for edit in edits['edits']] == ['redaccion']
        _, text = await in_thread(crocusctl, 'diff', changed_file, *config)
        assert '~ service redaccion: homes 3 -> 2' in text
        _, shown = await in_thread(crocusctl, 'show', *config)
        assert parse_operator_text(shown, 't') == parse_operator_text(
            EXAMPLE_TEXT, 't'
        )
        _, located = await command('locate', 'redaccion', *config)
        assert [home['name'] for home in located['homes']] == ['one']
        assert (await command('locate', 'missing', *config))[0] == 2
        _, listed = await command('instances', *config)
        assert listed['instances'][0]['status']['generation'] == 1
        submission_flag = ('--submission', first['submission'])
        code, entries = await command('history', *platform, *submission_flag)
        assert (code, entries[0]['verdict']['generation']) == (0, 1)
        # The limit does not apply to a single submission; 0 ended in an error.
        code, entries = await command(
            'history', *platform, *submission_flag, '--limit=0'
        )
        assert (code, len(entries)) == (0, 1)
        missing_flag = ('--submission', 'missing')
        assert (await command('history', *platform, *missing_flag))[0] == 4

    run(operate)


def test_submission_without_a_verdict_exits_as_not_known_yet(
    crocusctl, tmp_path
):
    async def publish_with_lost_response(system):
        settings = tmp_path / 'tool.yaml'
        settings.write_text(f"platform: '{system.address}'\nwait: 0s\n")
        platform = system.platform
        platform.faults.lose_answers = 1
        arguments = ('publish', EXAMPLE, '--settings', str(settings), '--json')
        code, output = await in_thread(crocusctl, *arguments)
        assert (code, json.loads(output)['code']) == (4, 'not_known_yet')
        assert platform.appends == 1

    run(publish_with_lost_response)
