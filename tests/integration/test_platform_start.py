"""
A daemon that receives SIGHUP or SIGTERM while it starts must not end as if it had crashed.

Until a handler is installed, SIGHUP kills a Python process. The daemons used to install their
handlers after all imports, half a second after their start and far later on a busy VM. A daemon
whose settings changed during that time ended with code -1 (SIGHUP), which the platform counts as an
unrequested end.
"""

from __future__ import annotations

import signal
from pathlib import Path

import pytest

from integration.platform_system import LOOKUP, PlatformSystem, platform_system
from integration.processes import Process, wait_until

# A native library that a daemon imports early in its start.
EARLY_LIBRARY = "msgspec"


def is_importing(process: Process) -> bool:
    """Return whether a process has loaded the library and so is in the middle of its imports."""
    return EARLY_LIBRARY in Path(f"/proc/{process.popen.pid}/maps").read_text()


@pytest.mark.parametrize("role", ["control", "store", "entry"])
async def test_changed_settings_do_not_end_a_daemon_that_starts(tmp_path, role) -> None:
    system = PlatformSystem(tmp_path)
    process = system.add(role, 1)
    try:
        process.start()
        await wait_until(lambda: is_importing(process), "the imports")
        process.send(signal.SIGHUP)

        def started() -> bool:
            assert process.alive(), process.popen.returncode
            return '"daemon:started"' in process.log.read_text()

        await wait_until(started, f"{process.name} to start")
    finally:
        system.stop()


@pytest.mark.parametrize("role", ["control", "store", "entry"])
async def test_a_daemon_that_is_stopped_while_it_starts_ends_with_success(tmp_path, role) -> None:
    # Without a SIGTERM handler, an early planned stop would look like a crash by its exit code.
    system = PlatformSystem(tmp_path)
    process = system.add(role, 1)
    try:
        process.start()
        await wait_until(lambda: is_importing(process), "the imports")
        assert await process.terminate() == 0
    finally:
        system.stop()


async def test_callers_wait_for_an_entry_while_the_whole_system_restarts(tmp_path) -> None:
    # All processes ended. A caller whose connection is refused would repeat its request once, be
    # refused by another entry that is starting as well, and have lost it.
    async with platform_system(tmp_path) as system:
        system.stop()
        for name in system.process_by_name:
            system.write_boot(name, bootstrap=False)
        for process in system.process_by_name.values():
            process.start()
        entry = system.process_by_name["entry-1"]
        await wait_until(lambda: is_importing(entry), "the imports")

        status, _ = await system.call("POST", f"{LOOKUP}7", "a1")

        # The entry answers itself once it has started: with the engine's answer, or with a refusal
        # that says when to come back.
        assert status in (200, 503)
