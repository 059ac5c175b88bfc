"""What the rules in force say of a trainer; without a valid lease they allow nothing."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ibisspring_core.errors import Reason, Refusal
from ibisspring_decisions.sampling import share_of_places
from ibisspring_entry.rollouts.attempt import Bound

if TYPE_CHECKING:
    from ibisspring_core.messages.endpoints import EndpointRecord


def check_trainer(lease: Any, client_account: str, trainer: str) -> Refusal | None:
    """
    Check that a client account may speak for a trainer.

    :param lease: the kernel's `lease`.
    :param client_account: whose key came with the request.
    :param trainer: the trainer in the path.
    :return: why not, or None.
    """
    rules = lease.rules()
    if isinstance(rules, Refusal):
        return rules
    rule = rules.trainer_by_name.get(trainer)
    if rule is not None and rule.client_account == client_account:
        return None
    detail = f"no rule gives your client account the trainer {trainer}"
    return Refusal(Reason.NOT_ALLOWED, not_run=True, detail=detail)


def check_share(lease: Any, trainer: str, model: str) -> Refusal | None:
    """
    Check that a trainer may use the engines of a model.

    :return: why not, or None.
    """
    rules = lease.rules()
    if isinstance(rules, Refusal):
        return rules
    if trainer in rules.trainers_by_model.get(model, ()):
        return None
    detail = f"no share rule gives {trainer} the engines of {model}"
    return Refusal(Reason.NOT_ALLOWED, not_run=True, detail=detail)


def bound_of(lease: Any, trainer: str) -> Bound:
    """
    Read the staleness bound of a trainer.

    It only saves work, so a lapsed lease gives one that lets everything pass: the state machine
    checks again when the batch is delivered.
    """
    view = lease.view()
    rules = lease.rules()
    if isinstance(view, Refusal) or isinstance(rules, Refusal):
        return Bound(0, 0)
    rule = rules.trainer_by_name.get(trainer)
    if rule is None:
        return Bound(0, 0)
    return Bound(view.version_by_trainer.get(trainer, 0), rule.staleness_versions)


def client_account_of(lease: Any, trainer: str) -> str:
    """Name the client account that a trainer's tokens are for; empty where the rules name none."""
    rules = lease.rules()
    if isinstance(rules, Refusal) or trainer not in rules.trainer_by_name:
        return ""
    return rules.trainer_by_name[trainer].client_account


def room_of(
    lease: Any, engines: tuple[EndpointRecord, ...], trainer: str, model: str, running: int
) -> int:
    """
    Count the attempts that one trainer's step may run on a model's engines at a time.

    :param engines: the model's serving engines.
    :param running: attempts of the step that run now.
    :return: its part of their places and what the others leave free; 0 once the rules no longer
        name the trainer.
    """
    rules = lease.rules()
    if isinstance(rules, Refusal) or not engines:
        return 0
    sharing = rules.trainers_by_model.get(model, ())
    if trainer not in sharing or trainer not in rules.trainer_by_name:
        return 0
    loads = [engine.load for engine in engines]
    places = sum(load.capacity for load in loads)
    free = sum(max(0, load.capacity - load.running - load.queued) for load in loads)
    return share_of_places(places, len(sharing), running, free)


__all__ = ["bound_of", "check_share", "check_trainer", "client_account_of", "room_of"]
