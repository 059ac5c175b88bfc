"""The micro-kernel: services register under a name and find each other by it."""

from __future__ import annotations

import asyncio
from typing import Any, Protocol


class Service(Protocol):
    """A part of a daemon with a life cycle."""

    name: str

    async def start(self, kernel: Kernel) -> None:
        """Start; services registered earlier have started already."""

    async def stop(self) -> None:
        """Stop gracefully; services registered later have stopped already."""


class Kernel:
    """
    Holds the services of one process, starts them in order and stops them in reverse.

    `stopping` is set once the process was told to stop; a start that waits gives up then.
    """

    def __init__(self) -> None:
        self.service_by_name: dict[str, Any] = {}
        self.stopping = asyncio.Event()
        self._started: list[Service] = []

    @classmethod
    def from_services(cls, services: tuple[Service, ...]) -> Kernel:
        """
        Build a kernel with services registered in start order.

        :param services: each with a name of its own.
        :return: the kernel, nothing started.
        """
        kernel = cls()
        for service in services:
            kernel.register(service)
        return kernel

    def register(self, service: Service) -> None:
        """
        Add a service before the start.

        :param service: its `name` must be free.
        """
        if service.name in self.service_by_name:
            raise ValueError(f"service {service.name!r} is registered twice")
        self.service_by_name[service.name] = service

    def find(self, name: str) -> Any:
        """
        Find a service that must exist.

        :param name: the registered name.
        :return: the service; its concrete type is the caller's to know.
        """
        return self.service_by_name[name]

    def find_optional(self, name: str) -> Any | None:
        """
        Find a service that may be absent in this role.

        :param name: the registered name.
        :return: the service or None.
        """
        return self.service_by_name.get(name)

    async def start(self) -> None:
        """
        Start all services in the order of registration; on a failure stop those already started.
        """
        for service in self.service_by_name.values():
            try:
                await service.start(self)
            except BaseException:
                await self.stop()
                raise
            self._started.append(service)

    async def stop(self) -> None:
        """Stop the started services in reverse order."""
        while self._started:
            service = self._started.pop()
            await service.stop()


__all__ = ["Kernel", "Service"]
