"""The services of the entry role."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ibisspring_core.kernel import Service
    from ibisspring_core.settings import Settings


def build_services(settings: Settings) -> tuple[Service, ...]:
    """
    Build the services of this role in start order.

    :param settings: checked settings.
    :return: the services.
    """
    return ()


__all__ = ["build_services"]
