"""Runs ``crocus-entry`` with links on the way to the internal ports of others.

An instance tells the others the address on which it listens, so a link can't
have that address. The event loop connects to the links instead.

    python -m soak.linked_entry LINKS_FILE --settings=SETTINGS_FILE

The JSON file maps the addresses of the others to those of the links.
"""

import json
import sys
from pathlib import Path

import uvloop

from crocusproxy.entry.main import main


def _host_and_port(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(':')
    return host, int(port)


class LinkedLoop(uvloop.Loop):
    """An event loop that replaces addresses of connections by ``links``."""

    links: dict[tuple[str, int], tuple[str, int]] = {}

    async def sock_connect(self, sock, address):
        """Connect a socket; aiohttp opens all connections in this way."""
        await super().sock_connect(sock, self.links.get(address, address))


if __name__ == '__main__':
    addresses = json.loads(Path(sys.argv.pop(1)).read_text())
    LinkedLoop.links = {
        _host_and_port(address): _host_and_port(link)
        for address, link in addresses.items()
    }
    uvloop.new_event_loop = LinkedLoop
    main()
