"""Starts a cluster of real daemons on loopback addresses, each with its own settings file."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import yaml

from integration.processes import Process, free_address, http_answers, wait_until

DATA_CENTRES = ("birmingham", "derby", "stoke")


class Cluster:
    """
    Settings and processes of a cluster's daemons, by daemon id.

    All addresses are in `settings_by_daemon`, so that a test can replace an address by that of a
    proxy before it starts the daemon.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.settings_by_daemon: dict[str, dict[str, Any]] = {}
        self.process_by_name: dict[str, Process] = {}

    @classmethod
    def from_counts(cls, folder: Path, controls: int, entries: int, **control: Any) -> Cluster:
        """
        Create the settings of a cluster without starting its daemons.

        :param controls: number of control daemons, whose ids are `c1`, `c2` and so on.
        :param entries: number of entry daemons, whose ids are `e1`, `e2` and so on.
        :param control: settings of the control section that differ from the defaults.
        """
        cluster = cls(folder)
        listen_by_id = {f"c{number + 1}": free_address() for number in range(controls)}
        for number, daemon in enumerate(listen_by_id):
            cluster.settings_by_daemon[daemon] = {
                "daemon": daemon,
                "data_centre": DATA_CENTRES[number % len(DATA_CENTRES)],
                "roles": ["control"],
                "control_addresses": dict(listen_by_id),
                "data_folder": str(folder / daemon / "data"),
                "log_path": str(folder / daemon / "log.jsonl"),
                "control": {"listen": listen_by_id[daemon], **control},
            }
        for number in range(entries):
            daemon = f"e{number + 1}"
            cluster.settings_by_daemon[daemon] = {
                "daemon": daemon,
                "data_centre": DATA_CENTRES[number % len(DATA_CENTRES)],
                "roles": ["entry"],
                "control_addresses": dict(listen_by_id),
                "data_folder": str(folder / daemon / "data"),
                "log_path": str(folder / daemon / "log.jsonl"),
                "entry": {
                    "listen_http": free_address(),
                    "listen_peer": free_address(),
                    "stop_wait_s": 0.2,
                },
            }
        return cluster

    def settings_path(self, daemon: str) -> Path:
        return self.folder / daemon / "settings.yaml"

    def url(self, daemon: str) -> str:
        """Return the base URL of an entry's HTTP interface."""
        return f"http://{self.settings_by_daemon[daemon]['entry']['listen_http']}"

    def start(self, daemon: str) -> Process:
        """Write the daemon's settings file and start its process."""
        path = self.settings_path(daemon)
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(yaml.safe_dump(self.settings_by_daemon[daemon], sort_keys=False))
        binary = Path(sys.executable).parent / "ibisspringd"
        arguments = [str(binary), "--settings", str(path)]
        process = Process(daemon, arguments, path.parent / "output.txt")
        process.start()
        self.process_by_name[daemon] = process
        return process

    def start_all(self) -> None:
        for daemon in self.settings_by_daemon:
            self.start(daemon)

    def start_other(self, name: str, arguments: list[str]) -> Process:
        """Start a fake or another process, which `stop_all` kills together with the daemons."""
        process = Process(name, arguments, self.folder / f"{name}.txt")
        process.start()
        self.process_by_name[name] = process
        return process

    async def wait_ready(self, daemon: str) -> None:
        """Wait until an entry's `/readyz` answers 200: it holds a lease and serves callers."""
        await wait_until(
            lambda: http_answers(f"{self.url(daemon)}/readyz"), f"{daemon} to be ready"
        )

    def stop_all(self) -> None:
        for process in self.process_by_name.values():
            process.kill()
