"""
Applies the operator's current rules to a trainer; without a valid lease nothing is allowed.

`lease` in these functions is the kernel's service of this name, which provides the rules.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ibisspring_core.errors import Reason, Refusal
from ibisspring_decisions.sampling import max_running_attempts
from ibisspring_entry.rollouts.attempt import StalenessBound

if TYPE_CHECKING:
    from ibisspring_core.messages.endpoints import EndpointRecord


def check_trainer(lease: Any, client_account: str, trainer: str) -> Refusal | None:
    """
    Check that a client account may send requests for a trainer.

    :param lease: the kernel's service `lease`.
    :param client_account: client account of the request's API key.
    :param trainer: name of the trainer in the request path.
    :return: a refusal, or None if the account may use the trainer.
    """
    rules = lease.rules()
    if isinstance(rules, Refusal):
        return rules
    rule = rules.trainer_by_name.get(trainer)
    if rule is not None and rule.client_account == client_account:
        return None
    detail = f"no rule assigns the trainer {trainer} to your client account"
    return Refusal(Reason.NOT_ALLOWED, not_run=True, detail=detail)


def check_share(lease: Any, trainer: str, model: str) -> Refusal | None:
    """
    Check that a trainer may use the engines of a model.

    :return: a refusal, or None if a share rule gives the trainer these engines.
    """
    rules = lease.rules()
    if isinstance(rules, Refusal):
        return rules
    if trainer in rules.trainers_by_model.get(model, ()):
        return None
    detail = f"no share rule gives {trainer} the engines of {model}"
    return Refusal(Reason.NOT_ALLOWED, not_run=True, detail=detail)


def staleness_bound_of(lease: Any, trainer: str) -> StalenessBound:
    """
    Return the current staleness bound of a trainer.

    The bound only saves work on this entry; the control state machine checks again when the batch
    is delivered. A lapsed lease therefore gives a bound that every sample passes.
    """
    view = lease.view()
    rules = lease.rules()
    if isinstance(view, Refusal) or isinstance(rules, Refusal):
        return StalenessBound(0, 0)
    rule = rules.trainer_by_name.get(trainer)
    if rule is None:
        return StalenessBound(0, 0)
    return StalenessBound(view.version_by_trainer.get(trainer, 0), rule.staleness_versions)


def client_account_of(lease: Any, trainer: str) -> str:
    """Return the client account that a trainer's tokens are billed to; empty without a rule."""
    rules = lease.rules()
    if isinstance(rules, Refusal) or trainer not in rules.trainer_by_name:
        return ""
    return rules.trainer_by_name[trainer].client_account


def trainer_concurrency_limit(
    lease: Any, engines: tuple[EndpointRecord, ...], trainer: str, model: str, running: int
) -> int:
    """
    Return how many attempts of a trainer's step may run concurrently on a model's engines.

    :param engines: the model's serving engines.
    :param running: attempts of the step that run now.
    :return: the trainer's share of the engines' capacity plus the capacity that other trainers
        leave free; 0 if the rules no longer contain the trainer.
    """
    rules = lease.rules()
    if isinstance(rules, Refusal) or not engines:
        return 0
    sharing = rules.trainers_by_model.get(model, ())
    if trainer not in sharing or trainer not in rules.trainer_by_name:
        return 0
    loads = [engine.load for engine in engines]
    capacity = sum(load.capacity for load in loads)
    free = sum(max(0, load.capacity - load.running - load.queued) for load in loads)
    return max_running_attempts(capacity, len(sharing), running, free)


__all__ = [
    "check_share",
    "check_trainer",
    "client_account_of",
    "staleness_bound_of",
    "trainer_concurrency_limit",
]
