"""The kernel: the registry in which the services of a daemon find each other by name."""

from __future__ import annotations

import asyncio
from typing import Any, Protocol


class Service(Protocol):
    """A component of a daemon that is started and stopped."""

    name: str

    async def start(self, kernel: Kernel) -> None:
        """Start the service; services registered earlier have started already."""

    async def stop(self) -> None:
        """Stop the service gracefully; services registered later have stopped already."""


class Kernel:
    """
    Holds the services of one process, starts them in order and stops them in reverse order.

    `stopping` is set when the process receives a signal to stop; a service that is still waiting in
    its `start` then ends the wait.
    """

    def __init__(self) -> None:
        self.service_by_name: dict[str, Any] = {}
        self.stopping = asyncio.Event()
        self._started: list[Service] = []

    @classmethod
    def from_services(cls, services: tuple[Service, ...]) -> Kernel:
        """
        Build a kernel and register services.

        :param services: services with distinct names, in the order in which they start.
        :return: the kernel, with no service started.
        """
        kernel = cls()
        for service in services:
            kernel.register(service)
        return kernel

    def register(self, service: Service) -> None:
        """
        Register a service; call this before `start`.

        :param service: the service; raises `ValueError` if its name is already registered.
        """
        if service.name in self.service_by_name:
            raise ValueError(f"service {service.name!r} is registered twice")
        self.service_by_name[service.name] = service

    def find(self, name: str) -> Any:
        """
        Return a service that must be registered.

        :param name: the registered name.
        :return: the service; the caller knows its concrete type. Raises `KeyError` if the name is
            not registered.
        """
        return self.service_by_name[name]

    def find_optional(self, name: str) -> Any | None:
        """
        Return a service that daemons of some roles do not have.

        :param name: the registered name.
        :return: the service; None if it is not registered.
        """
        return self.service_by_name.get(name)

    async def start(self) -> None:
        """
        Start all services in the order of registration.

        If a service fails to start, the services that have started are stopped and the exception
        propagates.
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
