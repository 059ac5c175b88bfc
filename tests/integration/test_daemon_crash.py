"""
A daemon that is killed by a fatal signal writes the stacks of its threads to its logs.

In a fault search over 40 replayed days of one deployment, an entry once ended with code 139 (signal
11). No Python code runs after such a signal, so the logs named neither the thread nor the library,
and a repetition of the same day did not reproduce the crash. Each daemon therefore has faulthandler
write the stacks of all threads and the loaded extension modules to its logs before it ends.
"""

from __future__ import annotations

import signal
from pathlib import Path

import pytest

from integration.cluster import Cluster
from integration.platform_system import platform_system
from integration.processes import Process, wait_until

FAULT_NAME_BY_SIGNAL = {signal.SIGSEGV: "Segmentation fault", signal.SIGABRT: "Aborted"}


async def crash_with(process: Process, signal_number: int) -> None:
    """Send a fatal signal to a process and check that the process ends by that signal."""
    process.send(signal_number)
    await wait_until(lambda: not process.alive(), f"{process.name} to end")
    assert process.popen.returncode == -signal_number


def assert_stacks_logged(log: Path, signal_number: int) -> None:
    """Check that a log holds faulthandler's report: the signal, the stacks and the modules."""
    text = log.read_text(errors="replace")
    assert f"Fatal Python error: {FAULT_NAME_BY_SIGNAL[signal_number]}" in text
    assert "(most recent call first)" in text
    assert "Extension modules:" in text


@pytest.mark.parametrize("signal_number", FAULT_NAME_BY_SIGNAL)
async def test_a_crash_on_the_platform_names_its_threads(tmp_path, signal_number) -> None:
    async with platform_system(tmp_path) as system:
        for name in ("entry-1", "control-1", "store-1"):
            process = system.process_by_name[name]
            await crash_with(process, signal_number)
            assert_stacks_logged(process.log, signal_number)


@pytest.mark.parametrize("signal_number", FAULT_NAME_BY_SIGNAL)
async def test_a_crash_of_a_daemon_with_a_log_file_writes_thread_stacks(
    tmp_path, signal_number
) -> None:
    cluster = Cluster.from_counts(tmp_path, 1, 0)
    cluster.start_all()
    process = cluster.process_by_name["c1"]
    log = Path(cluster.settings_by_daemon["c1"]["log_path"])
    try:
        await wait_until(lambda: log.exists() and "daemon:started" in log.read_text(), "the start")
        await crash_with(process, signal_number)
        assert_stacks_logged(log, signal_number)
    finally:
        cluster.stop_all()
