"""Checks a client account's access to a service under the current rules."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisspring_core.errors import Reason, Refusal

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.rules import Rules


def authorize_call(kernel: Kernel, client_account: str, service: str) -> Rules | Refusal:
    """
    Check that a client account may call a service.

    :param kernel: registry in which the daemon's services find each other.
    :param client_account: client account of the caller.
    :param service: name of the called model or plain service.
    :return: the current rules if they allow the call, else a refusal.
    """
    rules = kernel.find("lease").rules()
    if isinstance(rules, Refusal):
        return rules
    if rules.allows(client_account, service):
        return rules
    known = (
        kernel.find("registry").available_endpoints(service)
        or service in rules.placement_by_service
    )
    if not known:
        detail = f"no endpoint and no rule is for {service!r}"
        return Refusal(Reason.UNKNOWN_SERVICE, True, None, detail)
    detail = f"no rule allows {client_account} to call {service!r}"
    return Refusal(Reason.NOT_ALLOWED, True, None, detail)


__all__ = ["authorize_call"]
