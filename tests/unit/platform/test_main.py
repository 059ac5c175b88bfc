from __future__ import annotations

import pytest

from ibisspring_core.grpc_runtime import GrpcRuntime
from ibisspring_core.settings.vm import CONTROL, ENTRY, STORE, VmSettings
from ibisspring_platform.main import build_kernel


@pytest.mark.parametrize("role", [CONTROL, STORE, ENTRY])
def test_every_daemon_initialises_grpc_first(role, tmp_path) -> None:
    # A daemon has used up its file descriptors. If it used gRPC for the first time then, the
    # process would be killed by a signal.
    settings = VmSettings(
        "d1", role, "derby", "10.0.0.1:1", ("10.0.0.1:1",), data_folder=str(tmp_path)
    )
    assert next(iter(build_kernel(settings).service_by_name)) == GrpcRuntime.name
