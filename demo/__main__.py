"""Runs a small system end to end, prints each step, and stops every daemon gracefully."""

from __future__ import annotations

import asyncio
import hashlib
import json
import secrets
import sys
import tempfile
from pathlib import Path
from typing import Any

import aiohttp

from integration.cluster import Cluster
from integration.processes import (
    command_line,
    free_address,
    get_json,
    python_module,
    wait_until,
)

CALLER_KEY = secrets.token_urlsafe(32)
TRAINER_KEY = secrets.token_urlsafe(32)
WINDOW_S = 5.0
GROUPS = 4
GROUP_SIZE = 4


def say(text: str) -> None:
    """Print a line and flush it, so that the output appears while the demo runs."""
    print(text, flush=True)


def digest(key: str) -> str:
    """Return the hash that identifies a key in a rules file."""
    return f"sha256:{hashlib.sha256(key.encode()).hexdigest()}"


def rules_text() -> str:
    """Return the demo's rules file; each line ends with who asked for the rule."""
    return f"""\
client_account stoke-foundry key {digest(CALLER_KEY)} rate 50/s weight 2  # asked: archive desk, ticket 118
client_account training key {digest(TRAINER_KEY)} rate 500/s weight 4  # asked: training, ticket 121
allow stoke-foundry service scorer-lm, archive-app  # asked: archive desk, ticket 118
allow training service scorer-lm, reader-scores  # asked: training, ticket 121
trainer scan-reader client_account training  # asked: training, ticket 121
share scorer-lm trainer scan-reader  # asked: training, ticket 121
staleness trainer scan-reader 2 versions  # asked: training, ticket 121
"""


class Demo:
    """The demo's daemons and the fakes of the external services that they call."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.platform_address = free_address()
        self.usage_address = free_address()
        self.weight_store_address = free_address()
        self.cluster = Cluster.from_counts(
            folder,
            controls=3,
            entries=2,
            platform_url=f"http://{self.platform_address}",
            usage_url=f"http://{self.usage_address}",
            weight_store_url=f"http://{self.weight_store_address}",
            usage_window_s=WINDOW_S,
        )
        self.control_options = [
            f"--control={section['control']['listen']}"
            for section in self.cluster.settings_by_daemon.values()
            if "control" in section
        ]

    def run_command(self, *arguments: str) -> str:
        """Run the `ibisspring` command line and print its first 12 lines; exit if it fails."""
        say(f"$ ibisspring {' '.join(arguments)}")
        result = command_line(*self.control_options, *arguments)
        if result.returncode != 0:
            raise SystemExit(f"exit {result.returncode}: {result.stderr}{result.stdout}")
        for line in result.stdout.splitlines()[:12]:
            say(f"  {line}")
        return result.stdout

    async def start(self) -> None:
        """Start the fakes and the daemons, and wait until both entries are ready."""
        cluster = self.cluster
        for name, listen in (
            ("platform", self.platform_address),
            ("usage", self.usage_address),
            ("weight_store", self.weight_store_address),
        ):
            cluster.start_other(name, python_module(f"fakes.{name}", "--listen", listen))
        cluster.start_all()
        say(f"started {', '.join(cluster.settings_by_daemon)}; every process is a real one")
        await self.bootstrap()
        for entry in ("e1", "e2"):
            await cluster.wait_ready(entry)
        say("both entries hold a lease and are ready")

    async def bootstrap(self) -> None:
        """Bootstrap the control cluster; retries until its daemons listen."""

        async def bootstrapped() -> bool:
            result = command_line(*self.control_options, "control", "bootstrap")
            return result.returncode == 0

        say("$ ibisspring control bootstrap")
        await wait_until(bootstrapped, "the bootstrap")

    async def start_endpoints(self) -> None:
        """Start two engines, a plain service and a scorer, which announce themselves to the entries."""
        entries = ["--entry", self.cluster.url("e1"), "--entry", self.cluster.url("e2")]
        for name, module, service, data_centre in (
            ("engine-1", "fakes.engine", "scorer-lm", "birmingham"),
            ("engine-2", "fakes.engine", "scorer-lm", "derby"),
            ("archive-1", "fakes.plain", "archive-app", "birmingham"),
            ("scorer-1", "fakes.scorer", "reader-scores", "derby"),
        ):
            arguments = ["--endpoint", name, "--listen", free_address(), "--service", service]
            arguments += ["--data-centre", data_centre, *entries]
            self.cluster.start_other(name, python_module(module, *arguments))
        say("four endpoints announce themselves; no settings or rules file lists them")


async def send_request(
    method: str, url: str, key: str, body: Any = None, headers: dict[str, str] | None = None
) -> tuple[int, bytes]:
    """Send one request with a caller's key; returns the status and the body."""
    all_headers = {"Authorization": f"Bearer {key}", **(headers or {})}
    async with (
        aiohttp.ClientSession() as session,
        session.request(method, url, json=body, headers=all_headers) as response,
    ):
        return response.status, await response.read()


async def callers(demo: Demo) -> None:
    """Send a generation, a plain call and two requests that must be refused."""
    url = demo.cluster.url("e1")
    generate = {"model": "scorer-lm", "prompt": "read the heat number", "max_tokens": 12}

    async def generated() -> bool:
        return (await send_request("POST", f"{url}/v1/generate", CALLER_KEY, generate))[0] == 200

    await wait_until(generated, "the first generation to succeed")
    status, body = await send_request(
        "POST", f"{url}/v1/generate", CALLER_KEY, {**generate, "stream": True}
    )
    lines = body.decode().splitlines()
    say(f"caller: streamed generation: {status}, {len(lines)} lines, the last: {lines[-1]}")
    await wait_until(
        lambda: plain_call_succeeds(f"{url}/v1/services/archive-app/certificates/4711"),
        "the archive service to answer",
    )
    status, body = await send_request(
        "GET", f"{url}/v1/services/archive-app/certificates/4711", CALLER_KEY
    )
    say(f"caller: plain call: {status}, {body.decode()[:120]}")
    for case, key, model in (
        ("wrong key", "no-such-key", "scorer-lm"),
        ("unknown model", CALLER_KEY, "no-such-model"),
    ):
        status, body = await send_request(
            "POST", f"{url}/v1/generate", key, {**generate, "model": model}
        )
        say(f"caller: {case}: {status}, {body.decode()}")


async def plain_call_succeeds(url: str) -> bool:
    """Return whether a call to the plain service is answered with 200."""
    return (await send_request("GET", url, CALLER_KEY))[0] == 200


async def training(demo: Demo) -> None:
    """Run one training step, then publish new weights and wait until both engines load them."""
    url = f"{demo.cluster.url('e1')}/v1/trainers/scan-reader"
    status, body = await send_request(
        "POST", f"{url}/versions", TRAINER_KEY, {"model": "scorer-lm", "version": 1}
    )
    say(f"trainer: published version 1: {status}")
    step = {
        "model": "scorer-lm",
        "group_size": GROUP_SIZE,
        "max_tokens": 16,
        "groups": [{"group": f"g{n}", "prompt": f"scan {n}"} for n in range(GROUPS)],
        "scorer": "reader-scores",
    }
    status, body = await send_request("POST", f"{url}/steps/1", TRAINER_KEY, step)
    say(f"trainer: opened step 1 with {GROUPS} groups of {GROUP_SIZE}: {status}")
    batch: dict[str, Any] = {}

    async def complete() -> bool:
        status, body = await send_request("GET", f"{url}/steps/1/batch", TRAINER_KEY)
        batch.update(json.loads(body))
        return status == 200

    await wait_until(complete, "the batch")
    sample = batch["samples"][0]
    say(f"trainer: batch of {len(batch['samples'])} samples, digest {batch['digest'][:12]}…")
    say(f"trainer: sample {sample['sample']} was made by {sample['runs']}, score {sample['score']}")
    status, _ = await send_request(
        "POST", f"{url}/steps/1/ack", TRAINER_KEY, {"digest": batch["digest"]}
    )
    say(f"trainer: acknowledged: {status}")
    status, _ = await send_request(
        "POST", f"{url}/versions", TRAINER_KEY, {"model": "scorer-lm", "version": 2}
    )
    say(f"trainer: published version 2: {status}")

    async def versions_loaded() -> bool:
        answer = json.loads(status_json(demo, "endpoints"))
        versions = [
            record["version_by_adapter"].get("scan-reader")
            for record in answer["endpoints"]
            if record["service"] == "scorer-lm"
        ]
        return versions == [2, 2]

    await wait_until(versions_loaded, "both engines to load version 2")
    say("both engines announce version 2")


def status_json(demo: Demo, query: str) -> str:
    """Return the output of `ibisspring status --json`."""
    return command_line(*demo.control_options, "status", "--json").stdout


async def print_usage(demo: Demo) -> None:
    """Wait for a usage report that has lines, and print them."""

    async def usage_reported() -> Any:
        answer = await get_json(f"http://{demo.usage_address}/log")
        return [report for report in answer["reports"] if report["lines"]]

    reports = await wait_until(usage_reported, "a usage report")
    for line in reports[0]["lines"]:
        say(f"usage: window {reports[0]['window']}: {line}")


async def run(folder: Path) -> None:
    """Run all parts of the demo, then stop the daemons."""
    demo = Demo(folder)
    rules = folder / "rules.txt"
    rules.write_text(rules_text())
    try:
        await demo.start()
        demo.run_command("rules", "check", str(rules))
        demo.run_command("rules", "apply", str(rules), "--base", "0")
        demo.run_command("rules", "show")
        await demo.start_endpoints()
        await callers(demo)
        await training(demo)
        await print_usage(demo)
        demo.run_command("status")
        for daemon in ("e1", "e2", "c1", "c2", "c3"):
            code = await demo.cluster.process_by_name[daemon].terminate()
            say(f"stopped {daemon} gracefully, exit {code}")
            if code != 0:
                raise SystemExit(f"{daemon} exited {code}")
    finally:
        demo.cluster.stop_all()


def main() -> None:
    """Run the demo in a temporary folder."""
    with tempfile.TemporaryDirectory(prefix="ibisspring-demo-") as folder:
        asyncio.run(run(Path(folder)))
    say("done")


if __name__ == "__main__":
    sys.exit(main())
