"""Who sends a request, and which routes it may use."""

from __future__ import annotations

import pytest

from ibisspring_core.routes import (
    ClientAccount,
    RouteIndex,
    RouteTable,
    identify,
    may_use,
)

FORGE = ClientAccount("forge", ("k1", "k2"))
WITH_ACCOUNTS = RouteIndex(RouteTable(1, accounts=(FORGE,)))
WITHOUT_ACCOUNTS = RouteIndex(RouteTable(1))


@pytest.mark.parametrize(
    ("index", "key", "account", "private", "public"),
    [
        (WITH_ACCOUNTS, "k1", FORGE, True, True),
        (WITH_ACCOUNTS, "k2", FORGE, True, True),
        (WITH_ACCOUNTS, "", None, False, True),
        (WITH_ACCOUNTS, "withdrawn", None, False, False),
        (WITHOUT_ACCOUNTS, "", None, True, True),
        (WITHOUT_ACCOUNTS, "k1", None, True, True),
    ],
)
def test_a_key_belongs_to_its_account_on_every_route(index, key, account, private, public) -> None:
    # A public route took its callers for nobody, whatever key they sent.
    caller = identify(index, key)

    assert caller.account == account
    assert may_use(index, caller, public=False) is private
    assert may_use(index, caller, public=True) is public
