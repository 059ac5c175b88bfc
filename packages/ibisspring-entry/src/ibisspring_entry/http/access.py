"""What the rules in force allow a client account."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisspring_core.errors import Reason, Refusal

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.rules import Rules


def allowed_rules(kernel: Kernel, client_account: str, service: str) -> Rules | Refusal:
    """
    Check that a client account may call a service.

    :param kernel: the daemon's kernel.
    :param client_account: who calls.
    :param service: the model or plain service.
    :return: the rules that allow it, else the refusal.
    """
    rules = kernel.find("lease").rules()
    if isinstance(rules, Refusal):
        return rules
    if rules.allows(client_account, service):
        return rules
    known = kernel.find("registry").records_of(service) or service in rules.placement_by_service
    if not known:
        detail = f"no endpoint and no rule is for {service!r}"
        return Refusal(Reason.UNKNOWN_SERVICE, True, None, detail)
    detail = f"no rule allows {client_account} to call {service!r}"
    return Refusal(Reason.NOT_ALLOWED, True, None, detail)


__all__ = ["allowed_rules"]
