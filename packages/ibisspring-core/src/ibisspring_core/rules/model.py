"""The rules of one rules file as frozen data classes; docs/reference/rules.md explains each."""

from __future__ import annotations

import hashlib
import hmac
from dataclasses import dataclass, field

IDEMPOTENT_METHODS = ("GET", "HEAD")


def key_digest(key: str) -> str:
    """
    Digest a client account's key as the rules file holds it.

    A key has 32 random bytes, so a plain digest cannot be searched for and needs no salt.

    :param key: the key as the caller shows it.
    :return: SHA-256 in lower-case hexadecimal digits.
    """
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()


@dataclass(frozen=True)
class ClientAccount:
    """
    A client account.

    :param key_digests: SHA-256 of each key in force, hexadecimal; empty when all are withdrawn.
    :param rate_per_s: requests a second over all entries together.
    :param weight: share of a full system, relative to the other client accounts.
    :param burst: requests that may come at once after a pause.
    """

    name: str
    key_digests: tuple[str, ...]
    rate_per_s: float
    weight: float
    burst: float


@dataclass(frozen=True)
class Trainer:
    """
    A trainer.

    :param client_account: the client account whose keys may open its steps.
    :param staleness_versions: how many versions older than the trainer's a sample may be.
    """

    name: str
    client_account: str
    staleness_versions: int


@dataclass(frozen=True)
class Placement:
    """
    Where endpoints of a service may run.

    :param data_centres: in order of preference.
    :param count: endpoints wanted over all data centres.
    :param cheap_share: largest share of them that may be of the cheap kind, 0 to 1.
    """

    service: str
    data_centres: tuple[str, ...]
    count: int
    cheap_share: float


@dataclass(frozen=True)
class IdempotentCall:
    """
    Calls of a plain service that may be repeated.

    :param path_prefix: the path below the service starts with it; empty for every path.
    """

    service: str
    method: str
    path_prefix: str


@dataclass(frozen=True)
class Rules:
    """A whole rules file."""

    client_account_by_name: dict[str, ClientAccount] = field(default_factory=dict)
    services_by_client_account: dict[str, frozenset[str]] = field(default_factory=dict)
    trainer_by_name: dict[str, Trainer] = field(default_factory=dict)
    trainers_by_model: dict[str, tuple[str, ...]] = field(default_factory=dict)
    placement_by_service: dict[str, Placement] = field(default_factory=dict)
    idempotent_calls_by_service: dict[str, tuple[IdempotentCall, ...]] = field(default_factory=dict)
    timeout_s_by_service: dict[str, float] = field(default_factory=dict)

    def client_account_of(self, key: str) -> str | None:
        """
        Find the client account that a key belongs to.

        Every digest is compared, each in constant time: how long the answer takes must not tell a
        guesser how much of a digest was right or which account was near.

        :param key: the key as the caller shows it.
        :return: the client account's name, or None for an unknown or withdrawn key.
        """
        digest = key_digest(key)
        found = None
        for account in self.client_account_by_name.values():
            for known in account.key_digests:
                if hmac.compare_digest(known, digest):
                    found = account.name
        return found

    def allows(self, client_account: str, service: str) -> bool:
        """
        Tell whether a client account may call a service or model.

        :param client_account: its name.
        :param service: name of the plain service or model.
        :return: True only where an `allow` rule says so.
        """
        return service in self.services_by_client_account.get(client_account, frozenset())

    def is_idempotent(self, service: str, method: str, path: str) -> bool:
        """
        Tell whether a call of a plain service may be repeated.

        :param method: HTTP method in capitals.
        :param path: path below the service, with its leading slash.
        :return: True for GET and HEAD and for what an `idempotent` rule names.
        """
        if method in IDEMPOTENT_METHODS:
            return True
        for call in self.idempotent_calls_by_service.get(service, ()):
            if call.method == method and path.startswith(call.path_prefix):
                return True
        return False


__all__ = ["ClientAccount", "IdempotentCall", "Placement", "Rules", "Trainer", "key_digest"]
