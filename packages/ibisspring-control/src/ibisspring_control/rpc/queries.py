"""Named queries of the gRPC service `Control`; each returns a JSON object."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING, Any

from ibisspring_core.clock import boot_now

if TYPE_CHECKING:
    from collections.abc import Callable

    from ibisspring_control.entry_leases import EntryLeases
    from ibisspring_control.state import StateMachine

SHOWN_DIGEST_CHARS = 12
MAX_SHOWN_CLAIMS = 100


@dataclass(frozen=True)
class QueryContext:
    """The services whose data a query reads, after a quorum confirmed this replica as leader."""

    consensus: Any
    state: StateMachine
    leases: EntryLeases


def _status(context: QueryContext, arguments: dict[str, Any]) -> dict[str, Any]:
    now = boot_now()
    entries = [
        {
            "daemon": lease.daemon,
            "incarnation": lease.incarnation,
            "data_centre": lease.data_centre,
            "rules_version": lease.rules_version,
            "view_index": lease.view_index,
            "lease_left_s": round(lease.lapses_s - now, 2),
        }
        for lease in context.leases.live_leases()
    ]
    return {
        "leader": context.consensus.leader_hint or "",
        "term": context.consensus.term,
        "applied_index": context.state.applied_index,
        "view_index": context.state.view_index,
        "rules_version": context.state.rules.current.version,
        "entries": entries,
        "endpoints": _endpoints(context, arguments)["endpoints"],
        "trainers": _trainers(context, arguments)["trainers"],
        "draining": list(context.state.draining_endpoints()),
        "open_orders": [order.order_id for order in context.state.open_orders()],
    }


def _rules(context: QueryContext, arguments: dict[str, Any]) -> dict[str, Any]:
    current = context.state.rules.current
    return {
        "version": current.version,
        "operator": current.operator,
        "accepted_s": current.stamped_s,
        "text": current.text,
    }


def _keys(context: QueryContext, arguments: dict[str, Any]) -> dict[str, Any]:
    keys = [
        {"client_account": account.name, "digest": f"sha256:{digest[:SHOWN_DIGEST_CHARS]}"}
        for account in context.state.rules.rules.client_account_by_name.values()
        for digest in account.key_digests
    ]
    return {"keys": keys}


def _usage(context: QueryContext, arguments: dict[str, Any]) -> dict[str, Any]:
    usage = context.state.usage
    windows = [asdict(window) for window in usage.snapshot().windows]
    wanted = arguments.get("window")
    if wanted is not None:
        windows = [window for window in windows if window["window"] == wanted]
    return {"closed_through": usage.closed_through, "windows": windows}


def _trainers(context: QueryContext, arguments: dict[str, Any]) -> dict[str, Any]:
    state = context.state
    trainers = []
    for name, trainer in sorted(state.rules.rules.trainer_by_name.items()):
        steps = state.steps.steps_of(name)
        trainers.append(
            {
                "trainer": name,
                "client_account": trainer.client_account,
                "version": state.trainers.version_of(name),
                "staleness_versions": trainer.staleness_versions,
                "step": steps[-1].step if steps else None,
                "step_state": steps[-1].state if steps else "",
            }
        )
    return {"trainers": trainers}


def _endpoints(context: QueryContext, arguments: dict[str, Any]) -> dict[str, Any]:
    records = context.leases.endpoint_by_id
    draining = context.state.drains.drain_by_endpoint
    endpoints = []
    for endpoint in sorted(records):
        record = records[endpoint]
        endpoints.append(
            {
                "endpoint": endpoint,
                "service": record.service,
                "role": record.role,
                "kind": record.kind,
                "data_centre": record.data_centre,
                "address": record.address,
                "state": record.state,
                "incarnation": record.incarnation,
                "version_by_adapter": record.version_by_adapter,
                "draining": endpoint in draining,
            }
        )
    return {"endpoints": endpoints}


def _suspects(context: QueryContext, arguments: dict[str, Any]) -> dict[str, Any]:
    return {"suspects": [asdict(suspect) for suspect in context.state.suspects.all()]}


def _step(context: QueryContext, arguments: dict[str, Any]) -> dict[str, Any]:
    key = (str(arguments.get("trainer", "")), arguments.get("step"))
    step = context.state.steps.step_by_key.get(key)
    if step is None:
        return {"found": False}
    return {
        "found": True,
        "state": step.state,
        "model": step.model,
        "digest": step.digest,
        "samples": step.samples,
        "epoch": step.epoch,
        "daemon": step.daemon,
        "incarnation": step.incarnation,
        "batch_digest": step.batch_digest,
    }


def _claims(context: QueryContext, arguments: dict[str, Any]) -> dict[str, Any]:
    claims = context.state.claims.claim_by_key
    wanted = arguments.get("client_account")
    shown = [
        {
            "client_account": claim.client_account,
            "key": claim.key,
            "state": claim.state,
            "request_id": claim.request_id,
            "daemon": claim.daemon,
        }
        for claim in claims.values()
        if wanted in (None, claim.client_account)
    ]
    return {"held": len(claims), "claims": shown[-MAX_SHOWN_CLAIMS:]}


QUERY_BY_NAME: dict[str, Callable[[QueryContext, dict[str, Any]], dict[str, Any]]] = {
    "claims": _claims,
    "endpoints": _endpoints,
    "keys": _keys,
    "rules": _rules,
    "status": _status,
    "step": _step,
    "suspects": _suspects,
    "trainers": _trainers,
    "usage": _usage,
}

__all__ = ["QUERY_BY_NAME", "QueryContext"]
