"""Endpoints' announcements: wire format (docs/API.md) and validation."""

from __future__ import annotations

import ipaddress

import msgspec

from ibisspring_core.endpoint_table import ANNOUNCED_STATES, ENDPOINT_KINDS, ENDPOINT_ROLES
from ibisspring_core.errors import Finding
from ibisspring_core.json_input import decode_json
from ibisspring_core.messages.endpoints import EndpointRecord

MAX_NAME_LENGTH = 200
MAX_PREFIXES = 256


def parse_announcement(data: bytes) -> EndpointRecord | tuple[Finding, ...]:
    """
    Parse and validate the announcement of an endpoint.

    :param data: the request body, one JSON object with the fields of `EndpointRecord`.
    :return: the record, or all errors found in it.
    """
    try:
        record = decode_json(data, EndpointRecord)
    except msgspec.DecodeError as error:
        return (Finding("announcement", 0, 0, str(error)),)
    findings = []
    for field in ("endpoint", "service", "data_centre"):
        if not 0 < len(getattr(record, field)) <= MAX_NAME_LENGTH:
            findings.append(_finding(field, f"must have 1 to {MAX_NAME_LENGTH} characters"))
    for field, allowed in (
        ("role", ENDPOINT_ROLES),
        ("kind", ENDPOINT_KINDS),
        ("state", ANNOUNCED_STATES),
    ):
        if getattr(record, field) not in allowed:
            findings.append(_finding(field, f"must be one of {', '.join(allowed)}"))
    if record.incarnation < 0 or record.sequence < 0:
        findings.append(_finding("sequence", "incarnation and sequence must not be negative"))
    if not _is_address(record.address):
        findings.append(_finding("address", "must be IP:port"))
    if len(record.prefixes) > MAX_PREFIXES:
        findings.append(_finding("prefixes", f"must have at most {MAX_PREFIXES} items"))
    return tuple(findings) if findings else record


def _finding(field: str, message: str) -> Finding:
    return Finding(f"announcement.{field}", 0, 0, message)


def _is_address(address: str) -> bool:
    host, separator, port = address.rpartition(":")
    if not separator or not port.isascii() or not port.isdigit():
        return False
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    return 0 < int(port) < 65536


__all__ = ["parse_announcement"]
