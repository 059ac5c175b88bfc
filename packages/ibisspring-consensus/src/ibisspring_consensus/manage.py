"""
Operators' actions on a replica.

The actions are: identify its disk, show its status, bootstrap a cluster, replace a voter and take a
snapshot.
"""

from __future__ import annotations

import asyncio
import secrets
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING, Any

import grpc
import grpc.aio
import msgspec

from ibisspring_consensus import events
from ibisspring_consensus.messages import Members, ReplicaId
from ibisspring_consensus.peer import Identity, open_channel
from ibisspring_core.pb import consensus_pb2, consensus_pb2_grpc

if TYPE_CHECKING:
    from ibisspring_consensus.node import ConsensusNode

IDENTIFY_TIMEOUT_S = 2.0
BOOTSTRAP_TIMEOUT_S = 30.0
REPLACE_TIMEOUT_S = 120.0
POLL_S = 0.05


@dataclass(frozen=True)
class ManageResult:
    """
    Answer to an operator's action.

    :param ok: whether the action was carried out.
    :param answer: result of the action, as JSON.
    :param leader_hint: id of the daemon that can carry out the action instead; empty for none.
    :param detail: why the action failed.
    """

    ok: bool
    answer: bytes = b"null"
    leader_hint: str = ""
    detail: str = ""


async def manage(node: ConsensusNode, action: str, arguments: dict[str, Any]) -> ManageResult:
    """
    Carry out an operator's action on this daemon's replica.

    :param node: the replica that received the operator's request.
    :param action: `identify`, `status`, `bootstrap`, `replace` or `snapshot`.
    :param arguments: arguments of `replace`, see `replace_member`; unused for the other actions.
    """
    if action == "identify":
        return _success(
            {
                "daemon": node.replica.daemon,
                "disk_id": node.replica.disk_id,
                "empty": node.core.is_empty,
                "cluster": node.core.cluster,
            }
        )
    if action == "status":
        return _success(status(node))
    if action == "bootstrap":
        return await bootstrap(node)
    if action == "replace":
        return await replace_member(node, arguments)
    if action == "snapshot":
        return _success({"begun": node.take_snapshot(), "applied_index": node.applied_index})
    return ManageResult(False, detail=f"unknown action {action!r}")


def _success(value: Any) -> ManageResult:
    return ManageResult(True, msgspec.json.encode(value))


def status(node: ConsensusNode) -> dict[str, Any]:
    """
    Describe a replica for operators.

    :return: its role, term, members and log indexes, as values that can be encoded as JSON.
    """
    state = node.core.state
    members = node.core.members
    return {
        "daemon": node.replica.daemon,
        "disk_id": node.replica.disk_id,
        "role": "waiting" if node.core.is_empty else state.role,
        "term": node.core.term,
        "leader": node.leader_hint,
        "lease_left_s": round(node.lease_left_s(), 3),
        "last_index": state.log.last_index,
        "commit_index": state.commit_index,
        "applied_index": node.applied_index,
        "snapshot_index": node.core.snapshot.index,
        "voters": [asdict(voter) for voter in members.voters],
        "learners": [asdict(learner) for learner in members.learners],
        "outgoing": [asdict(voter) for voter in members.outgoing],
        "match_by_daemon": {
            replica.daemon: progress.match_index
            for replica, progress in state.progress_by_replica.items()
        },
    }


async def identify(address: str) -> Identity | None:
    """
    Ask the daemon at an address which replica it runs, with a time limit of `IDENTIFY_TIMEOUT_S`.

    :param address: IP:port of the daemon.
    :return: daemon and disk id of the replica and its cluster; None if the daemon does not answer.
    """
    channel = open_channel(address)
    stub = consensus_pb2_grpc.ConsensusStub(channel)
    request = consensus_pb2.ManageRequest(action="identify")
    try:
        reply = await stub.Manage(request, timeout=IDENTIFY_TIMEOUT_S)
    except grpc.aio.AioRpcError:
        return None
    finally:
        await channel.close()
    answer = msgspec.json.decode(reply.answer)
    return Identity(
        ReplicaId(answer["daemon"], answer["disk_id"]), answer["empty"], answer["cluster"]
    )


async def bootstrap(node: ConsensusNode) -> ManageResult:
    """
    Bootstrap the cluster of all daemons in this daemon's configuration.

    All these daemons must answer and have empty disks, so that a cluster which lost some of its
    disks is never bootstrapped again beside the remaining state. Only the daemon whose id sorts
    first may bootstrap, so that two operators cannot create two clusters.
    """
    config = node.replica_config
    bootstrap_daemon = min(config.bootstrap_daemons)
    if config.daemon != bootstrap_daemon:
        return ManageResult(
            False,
            leader_hint=bootstrap_daemon,
            detail=f"only {bootstrap_daemon} can bootstrap the cluster",
        )
    identities = [Identity(node.replica, node.core.is_empty)]
    for daemon in sorted(config.bootstrap_daemons):
        if daemon == config.daemon:
            continue
        address = config.address_of(daemon)
        identity = await identify(address)
        if identity is None or identity.replica.daemon != daemon:
            return ManageResult(
                False, detail=f"{daemon} does not answer at {address}; nothing changed"
            )
        identities.append(identity)
    non_empty = [identity.replica.daemon for identity in identities if not identity.empty]
    if non_empty or not node.core.is_empty:
        names = ", ".join(non_empty) or config.daemon
        return ManageResult(False, detail=f"{names} already holds state; nothing changed")
    voters = tuple(sorted(identity.replica for identity in identities))
    node.dispatch(events.Bootstrap(Members(voters, cluster=secrets.token_hex(8))))
    leader_elected = await _wait_until(lambda: bool(node.leader_hint), BOOTSTRAP_TIMEOUT_S)
    if not leader_elected:
        return ManageResult(
            False, detail="bootstrapped, but no leader elected yet; see control status"
        )
    return _success(status(node))


async def replace_member(node: ConsensusNode, arguments: dict[str, Any]) -> ManageResult:
    """
    Replace a voter, and wait until the change is committed or `REPLACE_TIMEOUT_S` has passed.

    :param arguments: `daemon`: the daemon whose current voter is removed; `new`: the daemon whose
        current disk becomes a voter. Without `new`, the present disk of `daemon` replaces the disk
        that `daemon` lost.
    """
    if not node.is_leader:
        return ManageResult(
            False, leader_hint=node.leader_hint, detail="this replica is not the leader"
        )
    new_daemon = arguments.get("new") or arguments["daemon"]
    address = node.replica_config.address_of(new_daemon)
    if address is None:
        return ManageResult(False, detail=f"{new_daemon} has no address in the settings")
    identity = await identify(address)
    if identity is None:
        return ManageResult(False, detail=f"{new_daemon} does not answer at {address}")
    new = identity.replica
    voters = node.core.members.voters
    old = next((voter for voter in voters if voter.daemon == arguments["daemon"]), None)
    if old is None:
        return ManageResult(False, detail=f"{arguments['daemon']} is not a voter")
    if identity.cluster not in ("", node.core.cluster):
        return ManageResult(
            False, detail=f"{new_daemon} holds state of another cluster; empty its disk"
        )

    def request_replacement() -> bool:
        node.dispatch(events.Replace(new, old))
        current_members = node.core.members
        return (
            new in current_members.voters
            and (old == new or old not in current_members.voters)
            and not current_members.outgoing
        )

    finished = await _wait_until(
        lambda: not node.is_leader or _is_replacement_committed(node, request_replacement),
        REPLACE_TIMEOUT_S,
    )
    if finished and node.is_leader:
        return _success(status(node))
    return ManageResult(
        False,
        leader_hint=node.leader_hint,
        detail="the replacement is not finished; see control status",
    )


def _is_replacement_committed(node: ConsensusNode, request_replacement: Any) -> bool:
    return (
        request_replacement() and node.core.state.commit_index >= node.core.state.log.members_index
    )


async def _wait_until(condition: Any, timeout_s: float) -> bool:
    for _ in range(int(timeout_s / POLL_S)):
        if condition():
            return True
        await asyncio.sleep(POLL_S)
    return False


__all__ = ["ManageResult", "bootstrap", "identify", "manage", "replace_member", "status"]
