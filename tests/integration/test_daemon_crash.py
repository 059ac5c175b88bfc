"""
A daemon that ends by a fatal signal tells where it was.

In a hunt of 40 days on one deployment an entry ended once by itself with code 139 (signal 11). No
Python code runs after such a signal, so the logs named neither the thread nor the library, and the
same day, played again, did not end so. Each daemon now has faulthandler write the stacks of all
threads and the loaded extension modules to its logs before it ends.
"""

from __future__ import annotations

import signal
from pathlib import Path

import pytest

from integration.cluster import Cluster
from integration.platform_system import platform_system
from integration.processes import Process, wait_until

CAUSE_BY_SIGNAL = {signal.SIGSEGV: "Segmentation fault", signal.SIGABRT: "Aborted"}


async def end_by(process: Process, signal_number: int) -> None:
    """Send a fatal signal and wait for the end."""
    process.send(signal_number)
    await wait_until(lambda: not process.alive(), f"{process.name} to end")
    assert process.popen.returncode == -signal_number


def assert_names_its_threads(log: Path, signal_number: int) -> None:
    """Whether the logs hold what faulthandler writes."""
    text = log.read_text(errors="replace")
    assert f"Fatal Python error: {CAUSE_BY_SIGNAL[signal_number]}" in text
    assert "(most recent call first)" in text
    assert "Extension modules:" in text


@pytest.mark.parametrize("signal_number", CAUSE_BY_SIGNAL)
async def test_a_crash_on_the_platform_names_its_threads(tmp_path, signal_number) -> None:
    async with platform_system(tmp_path) as system:
        for name in ("entry-1", "control-1", "store-1"):
            process = system.process_by_name[name]
            await end_by(process, signal_number)
            assert_names_its_threads(process.log, signal_number)


@pytest.mark.parametrize("signal_number", CAUSE_BY_SIGNAL)
async def test_a_crash_of_a_daemon_with_a_log_file_names_its_threads(
    tmp_path, signal_number
) -> None:
    cluster = Cluster.from_counts(tmp_path, 1, 0)
    cluster.start_all()
    process = cluster.process_by_name["c1"]
    log = Path(cluster.settings_by_daemon["c1"]["log_path"])
    try:
        await wait_until(lambda: log.exists() and "daemon:started" in log.read_text(), "the start")
        await end_by(process, signal_number)
        assert_names_its_threads(log, signal_number)
    finally:
        cluster.stop_all()
