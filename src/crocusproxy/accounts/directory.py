"""Authentication of requests by the API keys of client accounts."""

from collections.abc import Iterable
from dataclasses import dataclass

from multidict import CIMultiDict, CIMultiDictProxy

from ..logs import log
from ..routes.model import ClientAccount, Route
from .keys import key_digest

#: Account names in the log line about keys of several accounts.
MAX_LOGGED_ACCOUNTS = 20
_SCHEME = 'bearer'

Headers = CIMultiDict[str] | CIMultiDictProxy[str]


@dataclass(frozen=True, slots=True)
class Authenticated:
    """The request has a key of ``account``."""

    account: ClientAccount


@dataclass(frozen=True, slots=True)
class Anonymous:
    """The request has no key, and its route needs none."""


@dataclass(frozen=True, slots=True)
class Rejected:
    """The request has no valid key and must not run."""


#: Identity of the sender of a request that may run.
Identity = Authenticated | Anonymous


class AccountDirectory:
    """The client accounts of one version of the configuration, by key.

    ``authorization`` is the name of the header that contains the key. A key
    that several accounts hold is valid for none of them.
    """

    def __init__(
        self, accounts: Iterable[ClientAccount], authorization: str
    ) -> None:
        self.authorization = authorization
        self.accounts: dict[str, ClientAccount] = {}
        conflicts: dict[str, set[str]] = {}
        for account in accounts:
            for digest in account.key_digests:
                holder = self.accounts.setdefault(digest, account)
                if holder is not account:
                    names = conflicts.setdefault(digest, {holder.name})
                    names.add(account.name)
        for digest in conflicts:
            self.accounts.pop(digest)
        if conflicts:
            _log_conflicts(conflicts)

    def authenticate(
        self, headers: Headers, route: Route
    ) -> Identity | Rejected:
        """Return whose request has these headers."""
        credentials = headers.getall(self.authorization, ())
        if not credentials and route.anonymous:
            return Anonymous()
        key = parse_key(credentials[0]) if len(credentials) == 1 else ''
        account = self.accounts.get(key_digest(key)) if key else None
        return Rejected() if account is None else Authenticated(account)


def parse_key(credentials: str) -> str:
    """Return the key of an authorization header, empty if it is malformed.

    >>> parse_key('bearer k'), parse_key('Bearer k k'), parse_key('Basic k')
    ('k', '', '')
    """
    scheme, _, rest = credentials.strip(' \t').partition(' ')
    key = rest.lstrip(' ')
    if scheme.lower() != _SCHEME or ' ' in key or '\t' in key:
        return ''
    return key


def _log_conflicts(conflicts: dict[str, set[str]]) -> None:
    names = sorted(set().union(*conflicts.values()))
    log(
        'account_keys_unusable',
        code='key_of_several_accounts',
        keys=len(conflicts),
        accounts=names[:MAX_LOGGED_ACCOUNTS],
    )
