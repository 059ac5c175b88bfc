"""
A daemon that is told of changed settings while it starts goes on starting.

Python ends a process that gets SIGHUP until a handler is installed, and the daemons installed
theirs after all imports, half a second after their start and far longer on a busy VM. A daemon
whose settings changed in that time ended with code -1 (SIGHUP), which the platform counts as an
end of its own.
"""

from __future__ import annotations

import signal
from pathlib import Path

import pytest

from integration.platform_system import PlatformSystem
from integration.processes import Process, wait_until

# A native library that the start imports early.
IMPORTED = "msgspec"


def imports(process: Process) -> bool:
    """Whether a process is in the middle of its imports."""
    return IMPORTED in Path(f"/proc/{process.popen.pid}/maps").read_text()


@pytest.mark.parametrize("role", ["control", "store", "entry"])
async def test_changed_settings_do_not_end_a_daemon_that_starts(tmp_path, role) -> None:
    system = PlatformSystem(tmp_path)
    process = system.add(role, 1)
    try:
        process.start()
        await wait_until(lambda: imports(process), "the imports")
        process.send(signal.SIGHUP)

        def started() -> bool:
            assert process.alive(), process.popen.returncode
            return '"daemon:started"' in process.log.read_text()

        await wait_until(started, f"{process.name} to start")
    finally:
        system.stop()


@pytest.mark.parametrize("role", ["control", "store", "entry"])
async def test_a_daemon_that_is_stopped_while_it_starts_ends_with_success(tmp_path, role) -> None:
    # A planned stop that comes early looks like a crash to whoever reads the exit code.
    system = PlatformSystem(tmp_path)
    process = system.add(role, 1)
    try:
        process.start()
        await wait_until(lambda: imports(process), "the imports")
        assert await process.terminate() == 0
    finally:
        system.stop()
