"""Guards against faults that end when another one does."""

import asyncio
from types import SimpleNamespace

from soak import injection, testbed
from soak.faults import CutHomeLink
from soak.link import LinkFault
from soak.plan import Features


class RecordedLink:
    def __init__(self):
        self.faults = []

    def apply(self, fault):
        self.faults.append(fault)


def test_end_of_a_cut_does_not_end_another_one(tmp_path, monkeypatch):
    """A cut during another one of the same link ended with the first."""
    homes = [
        SimpleNamespace(
            addresses={'internal': address}, links={other: RecordedLink()}
        )
        for address, other in (('a', 'b'), ('b', 'a'))
    ]

    async def find_homes(_):
        return homes

    monkeypatch.setattr(injection, 'find_domain_homes', find_homes)
    bed = injection.FaultInjector(testbed.Testbed(tmp_path, 2, 1, Features()))

    async def run():
        await asyncio.gather(
            bed.apply(CutHomeLink(LinkFault.RESET, 0.01)),
            bed.apply(CutHomeLink(LinkFault.SILENT, 0.02)),
        )

    asyncio.run(run())
    for home in homes:
        (link,) = home.links.values()
        assert link.faults == [
            LinkFault.RESET,
            LinkFault.NONE,
            LinkFault.SILENT,
            LinkFault.NONE,
        ]
