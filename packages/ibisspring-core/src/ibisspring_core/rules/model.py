"""The rules of one rules file as frozen data classes; docs/reference/rules.md explains each."""

from __future__ import annotations

import hashlib
import hmac
from dataclasses import dataclass, field

IDEMPOTENT_METHODS = ("GET", "HEAD")


def key_digest(key: str) -> str:
    """
    Return the digest of a client account's key, as written in the rules file.

    A key consists of 32 random bytes, so it cannot be found from its digest by search and the
    digest needs no salt.

    :param key: the key as the caller sends it.
    :return: SHA-256 in lower-case hexadecimal digits.
    """
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()


@dataclass(frozen=True)
class ClientAccount:
    """
    A client account with its keys, its rate limit and its share of the capacity.

    :param name: name of the client account.
    :param key_digests: SHA-256 of each valid key, in hexadecimal; empty if all are withdrawn.
    :param rate_per_s: rate limit in requests per second, over all entries.
    :param weight: share of the capacity under full load, relative to the other client accounts.
    :param burst: number of requests that are accepted at once after a time without requests.
    """

    name: str
    key_digests: tuple[str, ...]
    rate_per_s: float
    weight: float
    burst: float


@dataclass(frozen=True)
class Trainer:
    """
    A trainer: a program that opens training steps and publishes weight versions.

    :param name: name of the trainer.
    :param client_account: name of the client account whose keys may open its steps.
    :param staleness_versions: maximum number of versions that a sample may be older than the
        trainer's newest one.
    """

    name: str
    client_account: str
    staleness_versions: int


@dataclass(frozen=True)
class Placement:
    """
    How many endpoints of a service are wanted, and in which data centres.

    :param service: name of the service.
    :param data_centres: data centres in order of preference.
    :param count: number of endpoints wanted, over all data centres.
    :param cheap_share: maximum share of these endpoints that may be cheap (on VMs that the cloud
        may reclaim), 0 to 1.
    """

    service: str
    data_centres: tuple[str, ...]
    count: int
    cheap_share: float


@dataclass(frozen=True)
class IdempotentCall:
    """
    Calls of a plain service that are idempotent.

    :param service: name of the service.
    :param method: HTTP method in upper case.
    :param path_prefix: prefix of the path below the service; empty for every path.
    """

    service: str
    method: str
    path_prefix: str


@dataclass(frozen=True)
class Rules:
    """The rules of a complete rules file, by the name that each one is about."""

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

        Every digest is compared, each in constant time: the duration must not reveal to an attacker
        how many characters of a digest match, or of which account.

        :param key: the key as the caller sends it.
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
        Return whether a client account may call a service or model.

        :param client_account: name of the client account.
        :param service: name of the plain service or model.
        :return: True only if an `allow` rule permits it.
        """
        return service in self.services_by_client_account.get(client_account, frozenset())

    def is_idempotent(self, service: str, method: str, path: str) -> bool:
        """
        Return whether a call of a plain service may be repeated.

        :param service: name of the service.
        :param method: HTTP method in upper case.
        :param path: path below the service, with its leading slash.
        :return: True for GET and HEAD and for calls that match an `idempotent` rule.
        """
        if method in IDEMPOTENT_METHODS:
            return True
        for call in self.idempotent_calls_by_service.get(service, ()):
            if call.method == method and path.startswith(call.path_prefix):
                return True
        return False


__all__ = ["ClientAccount", "IdempotentCall", "Placement", "Rules", "Trainer", "key_digest"]
