"""Builds a daemon's kernel, which starts and stops the services of the daemon's roles."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisspring_core.control_client import ControlClient
from ibisspring_core.counters import Counters
from ibisspring_core.grpc_runtime import GrpcRuntime
from ibisspring_core.kernel import Kernel
from ibisspring_core.timer import TimerService

if TYPE_CHECKING:
    from ibisspring_core.settings import Settings


def build_kernel(settings: Settings) -> Kernel:
    """
    Build the kernel of one daemon with the services of the daemon's roles.

    The kernel is the registry in which the services find each other. The package of a role is
    imported only if the daemon has that role; an import of the other packages would use memory for
    nothing.

    :param settings: validated settings with the roles of the daemon.
    :return: the kernel; the caller starts its services with `Kernel.start`.
    """
    services = [
        GrpcRuntime(),
        TimerService(),
        Counters.from_config(settings.statsd),
        ControlClient.from_config(settings),
    ]
    if "control" in settings.roles:
        from ibisspring_control.role import build_services as build_control

        services.extend(build_control(settings))
    if "entry" in settings.roles:
        from ibisspring_entry.role import build_services as build_entry

        services.extend(build_entry(settings))
    if settings.metrics_listen:
        from ibisspring_core.metrics_server import MetricsServer

        services.append(MetricsServer(settings.metrics_listen))
    return Kernel.from_services(tuple(services))


__all__ = ["build_kernel"]
