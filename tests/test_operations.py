"""Guards against codes, metrics and log lines that are not documented.

The names are collected from the source: a string counts as an error code or a
log event where it is passed as a parameter, stored in a field or assigned to a
variable with the name ``code`` or ``event``.
"""

import ast
import re
from collections import defaultdict
from itertools import chain
from pathlib import Path

import pytest

from crocusproxy.cli.exits import ExitCode
from crocusproxy.proxy.problems import _STATUS

PAGE = Path('docs/OPERATIONS.md').read_text()
TREES = [
    ast.parse(path.read_text())
    for path in sorted(Path('src/crocusproxy').rglob('*.py'))
]
NODES = [node for tree in TREES for node in ast.walk(tree)]
NAME = re.compile(r'[a-z]+(_[a-z]+)*')
FUNCTIONS = (ast.FunctionDef, ast.AsyncFunctionDef)
#: Functions that return a code, or an empty string without a problem.
CODE_FUNCTIONS = {'problem', 'not_ready_reason', 'not_ready_reasons'}
#: Mappings with codes as keys, and with codes as values.
CODES_AS_KEYS = {'_STATUS', '_STATUS_BY_CODE', '_STATUS_BY_OUTCOME'}
CODES_AS_VALUES = {'_REFUSAL_CODES'}
SUFFIXES = {'Counter': '_total'}


#: String constants by name.
CONSTANTS = {
    node.targets[0].id: node.value.value
    for node in NODES
    if isinstance(node, ast.Assign)
    and isinstance(node.targets[0], ast.Name)
    and node.targets[0].id.isupper()
    and isinstance(node.value, ast.Constant)
    and isinstance(node.value.value, str)
}


def positions(parameter):
    """Return the positions of ``parameter`` in signatures, by callable name."""
    found = defaultdict(set)
    for node in NODES:
        if isinstance(node, ast.ClassDef):
            fields = [
                one for one in node.body if isinstance(one, ast.AnnAssign)
            ]
            names = [one.target.id for one in fields]
            inits = [
                one
                for one in node.body
                if getattr(one, 'name', '') == '__init__'
            ]
            if inits:
                names = [one.arg for one in inits[0].args.args[1:]]
        elif isinstance(node, FUNCTIONS):
            names = [one.arg for one in node.args.args if one.arg != 'self']
        else:
            continue
        if parameter in names:
            found[node.name].add(names.index(parameter))
    return found


def possible_names(node):
    """Yield the names that an expression can evaluate to."""
    inner = [node]
    if isinstance(node, ast.IfExp):
        inner = [node.body, node.orelse]
    for one in inner:
        text = one.value if isinstance(one, ast.Constant) else None
        if isinstance(one, ast.Name):
            text = CONSTANTS.get(one.id)
        if isinstance(text, str) and NAME.fullmatch(text):
            yield text


def arguments(parameter):
    """Yield expressions passed as ``parameter`` or assigned to that name."""
    positions_by_callable = positions(parameter)
    for node in NODES:
        if isinstance(node, ast.Call):
            name = getattr(node.func, 'id', getattr(node.func, 'attr', ''))
            indexes = [
                index
                for index in positions_by_callable.get(name, ())
                if index < len(node.args)
            ]
            yield from (node.args[index] for index in indexes)
            yield from (
                one.value for one in node.keywords if one.arg == parameter
            )
        elif isinstance(node, ast.Assign):
            if getattr(node.targets[0], 'id', '') == parameter:
                yield node.value


def assigns_to(node, names):
    target = node.target if isinstance(node, ast.AnnAssign) else None
    if isinstance(node, ast.Assign):
        target = node.targets[0]
    return getattr(target, 'id', '') in names


def codes():
    nodes = list(arguments('code'))
    for node in NODES:
        if assigns_to(node, CODES_AS_KEYS) and isinstance(node.value, ast.Dict):
            nodes.extend(node.value.keys)
        elif assigns_to(node, CODES_AS_VALUES):
            nodes.extend(node.value.values)
        elif isinstance(node, FUNCTIONS) and node.name in CODE_FUNCTIONS:
            nodes.extend(
                one.value for one in ast.walk(node) if hasattr(one, 'value')
            )
            nodes.extend(
                one
                for part in ast.walk(node)
                if isinstance(part, ast.BoolOp | ast.Tuple)
                for one in ast.iter_child_nodes(part)
            )
    return set(chain.from_iterable(map(possible_names, nodes)))


def metrics():
    return {
        node.args[0].value + SUFFIXES.get(node.func.id, '')
        for node in NODES
        if isinstance(node, ast.Call)
        and isinstance(node.func, ast.Name)
        and node.args
        and isinstance(node.args[0], ast.Constant)
        and str(node.args[0].value).startswith('crocus_')
    }


def events():
    return set(chain.from_iterable(map(possible_names, arguments('event'))))


def rows(heading):
    """Return the table rows below a heading, as lists of cells."""
    section = PAGE.split(f'\n{heading}\n', 1)[1]
    level = heading.split()[0]
    section = re.split(rf'\n#{{1,{len(level)}}} ', section)[0]
    lines = [line for line in section.splitlines() if line.startswith('| `')]
    return [[cell.strip() for cell in line.split('|')[1:-1]] for line in lines]


def entries(heading):
    return {
        name
        for row in rows(heading)
        for quoted in re.findall('`([^`]+)`', row[0])
        for name in (quoted.partition('{')[0],)
    }


@pytest.mark.parametrize(
    ('heading', 'collect', 'example'),
    [
        ('## Error codes', codes, 'snapshot_differs'),
        ('## Metrics', metrics, 'crocus_proxy_sends_total'),
        ('## Log lines', events, 'response_broken'),
    ],
)
def test_the_names_in_the_source_are_those_listed(heading, collect, example):
    found = collect()
    listed = entries(heading)
    assert example in found
    assert not sorted(found - listed), 'write an entry in docs/OPERATIONS.md'
    assert not sorted(listed - found), 'no longer in the source'


def test_the_listed_status_of_each_refusal_is_that_of_the_source():
    listed = {
        code: int(row[1])
        for row in rows('### Refusals by crocus-proxy')
        for code in re.findall('`([^`]+)`', row[0])
    }
    assert listed == _STATUS


def test_each_exit_code_has_an_entry():
    listed = {int(row[0].strip('`')) for row in rows('### Exit codes')}
    assert listed == set(ExitCode)
