"""Parses a rules file and reports all findings together, with line and column."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from ibisspring_core.errors import Finding
from ibisspring_core.rules.draft import Draft
from ibisspring_core.rules.line import RuleLine
from ibisspring_core.rules.model import ClientAccount, IdempotentCall, Placement, Rules

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_RULES_BYTES = 1_048_576
_DIGEST = re.compile(r"sha256:([0-9a-f]{64})\Z")
_METHOD = re.compile(r"[A-Z]+\Z")
_PERCENT = 100.0


def parse_rules(text: str, place: str = "rules") -> Rules | tuple[Finding, ...]:
    """
    Parse a rules file and check that the names its rules use are defined.

    :param text: text of the file.
    :param place: file name for the findings.
    :return: the rules, or all findings in order of line and column.
    """
    if len(text.encode("utf-8", "surrogateescape")) > MAX_RULES_BYTES:
        return (Finding(place, 0, 0, f"the file is longer than {MAX_RULES_BYTES} bytes"),)
    findings: list[Finding] = []
    draft = Draft()
    for number, text_line in enumerate(text.splitlines(), start=1):
        line = RuleLine(place, number, text_line, findings)
        if not line.tokens:
            continue
        _read_line(line, draft)
    draft.check()
    if findings:
        return tuple(sorted(findings, key=lambda finding: (finding.line, finding.column)))
    return draft.rules()


def _read_line(line: RuleLine, draft: Draft) -> None:
    line.check_requester()
    column = line.column()
    word = line.word("a rule")
    read = _READER_BY_WORD.get(word)
    if read is None:
        line.report(
            f"unknown rule {word!r}; rules are {', '.join(sorted(_READER_BY_WORD))}", column
        )
        return
    read(line, draft)


def _read_client_account(line: RuleLine, draft: Draft) -> None:
    name = line.name("the client account's name")
    if name is None or not draft.define(line, "client_account", name):
        return
    digests: list[str] = []
    while line.peek() == "key":
        line.keyword("key")
        digest = _read_digest(line, draft)
        if digest is None:
            return
        digests.append(digest)
    rate = line.number_with("/s", "the rate") if line.keyword("rate") else None
    if rate is None:
        return
    weight = line.number_with("", "the weight") if line.keyword("weight") else None
    if weight is None:
        return
    burst: float | None = max(1.0, rate)
    if line.peek() == "burst":
        line.keyword("burst")
        burst = line.number_with("", "the burst", above=1.0)
    if burst is None or not line.end():
        return
    account = ClientAccount(name, tuple(digests), rate, weight, burst)
    draft.client_account_by_name[name] = account


def _read_digest(line: RuleLine, draft: Draft) -> str | None:
    column = line.column()
    match = _DIGEST.match(line.word("a key's digest") or "")
    if match is None:
        line.report("expected sha256: and 64 lower-case hexadecimal digits", column)
        return None
    digest = match.group(1)
    # With one key on two client accounts, requests would be admitted and billed for the account
    # that is defined last.
    if not draft.define(line, "key", f"sha256:{digest}"):
        return None
    return digest


def _read_allow(line: RuleLine, draft: Draft) -> None:
    account = line.name("the client account's name")
    if account is None or not line.keyword("service"):
        return
    services = line.names("a service's name")
    if services is None or not line.end():
        return
    draft.refer(line, "client_account", account)
    for service in services:
        if draft.define(line, "allow", f"{account} service {service}"):
            draft.services_by_client_account.setdefault(account, set()).add(service)


def _read_trainer(line: RuleLine, draft: Draft) -> None:
    name = line.name("the trainer's name")
    if name is None or not draft.define(line, "trainer", name):
        return
    account = line.name("a client account") if line.keyword("client_account") else None
    if account is None or not line.end():
        return
    draft.refer(line, "client_account", account)
    draft.client_account_by_trainer[name] = account


def _read_share(line: RuleLine, draft: Draft) -> None:
    model = line.name("the model's name")
    if model is None or not draft.define(line, "share", model):
        return
    trainers = line.names("a trainer's name") if line.keyword("trainer") else None
    if trainers is None or not line.end():
        return
    for trainer in trainers:
        draft.refer(line, "trainer", trainer)
    draft.trainers_by_model[model] = trainers


def _read_staleness(line: RuleLine, draft: Draft) -> None:
    trainer = line.name("the trainer's name") if line.keyword("trainer") else None
    if trainer is None or not draft.define(line, "staleness", trainer):
        return
    versions = line.integer("the bound")
    if versions is None or not line.keyword("versions") or not line.end():
        return
    draft.refer(line, "trainer", trainer)
    draft.staleness_by_trainer[trainer] = versions


def _read_place(line: RuleLine, draft: Draft) -> None:
    service = line.name("the service's name")
    if service is None or not draft.define(line, "place", service) or not line.keyword("in"):
        return
    data_centres = line.names("a data centre's name")
    if data_centres is None:
        return
    count = line.integer("the count") if line.keyword("count") else None
    if count is None:
        return
    percent: float | None = 0.0
    if line.peek() == "cheap":
        line.keyword("cheap")
        percent = line.number_with("%", "the share") if line.keyword("at-most") else None
    if percent is None or not line.end():
        return
    if percent > _PERCENT:
        line.report("the share must be at most 100%")
        return
    placement = Placement(service, data_centres, count, percent / _PERCENT)
    draft.placement_by_service[service] = placement


def _read_idempotent(line: RuleLine, draft: Draft) -> None:
    service = line.name("the service's name")
    if service is None:
        return
    column = line.column()
    method = line.word("an HTTP method")
    if method is None:
        return
    if not _METHOD.match(method):
        line.report("expected an HTTP method in capitals, such as POST", column)
        return
    prefix = line.word("a path prefix") if line.peek() is not None else ""
    if prefix is None or not line.end():
        return
    if prefix and not prefix.startswith("/"):
        line.report("a path prefix starts with '/'")
        return
    if not draft.define(line, "idempotent", f"{service} {method} {prefix}".rstrip()):
        return
    call = IdempotentCall(service, method, prefix)
    calls = draft.idempotent_calls_by_service.get(service, ())
    draft.idempotent_calls_by_service[service] = (*calls, call)


def _read_timeout(line: RuleLine, draft: Draft) -> None:
    service = line.name("the service's name")
    if service is None or not draft.define(line, "timeout", service):
        return
    seconds = line.number_with("", "the timeout")
    if seconds is None or not line.keyword("s") or not line.end():
        return
    draft.timeout_s_by_service[service] = seconds


_READER_BY_WORD: dict[str | None, Callable[[RuleLine, Draft], None]] = {
    "allow": _read_allow,
    "client_account": _read_client_account,
    "idempotent": _read_idempotent,
    "place": _read_place,
    "share": _read_share,
    "staleness": _read_staleness,
    "timeout": _read_timeout,
    "trainer": _read_trainer,
}

__all__ = ["parse_rules"]
