"""The scale run as a whole, at sizes of a few seconds, and its command line."""

from __future__ import annotations

import json
import subprocess
import sys
import time
from dataclasses import replace
from pathlib import Path

import psutil
import pytest

from rainturn.emulator.__main__ import main
from rainturn.emulator.lab import Lab, Options, OverBudget
from rainturn.emulator.measurements import ScaleResult
from rainturn.emulator.real_gateway import ROOT, described_command, run_command
from rainturn.emulator.report import write_json
from rainturn.emulator.request_series import Bench, measure_requests
from rainturn.emulator.scale import run_scale
from rainturn.emulator.workers import RemoteFailure, WorkerFailed

TINY = Options(16, 64, 20, 40.0, 1.0, 1, True, window_s=0.2)


KEPT: list[ScaleResult] = []


@pytest.fixture(scope="module")
def tiny(tmp_path_factory: pytest.TempPathFactory) -> dict[str, object]:
    file = tmp_path_factory.mktemp("scale") / "found.json"
    write_json(run_scale(TINY, lambda text: None, KEPT.append), file)
    found: dict[str, object] = json.loads(file.read_text())
    return found


def test_a_tiny_run_fills_the_json(tiny: dict[str, object]) -> None:
    assert (tiny["gateways"], tiny["hosts"], tiny["tenants"], tiny["seed"]) == (16, 64, 20, 1)
    assert tiny["skipped"] == []
    assert [len(kept.skipped) for kept in KEPT] == [5, 4, 3, 2, 1, 0]  # kept after each part
    processes, peak = tiny["processes"], tiny["peak_memory_mb"]
    assert isinstance(processes, int) and processes > 10
    assert isinstance(peak, float) and 0 < peak < 6000


def test_each_slope_of_a_tiny_run_is_whole(tiny: dict[str, object]) -> None:
    slopes = tiny["slopes"]
    assert isinstance(slopes, list) and len(slopes) >= 20
    for slope in slopes:
        sizes = slope["sizes"]
        assert len(sizes) >= 4 and all(b >= 2 * a for a, b in zip(sizes, sizes[1:], strict=False))
        assert slope["held_out_size"] >= 2 * sizes[-1] and len(slope["values"]) == len(sizes)
        assert slope["role"] and slope["unit"] and slope["per"]
        assert slope["bends"] == bool(slope["reason"])
        assert slope["predicted"] is not None or slope["bends"]


def test_counts_of_a_tiny_run_lie_on_lines(tiny: dict[str, object]) -> None:
    slopes = tiny["slopes"]
    assert isinstance(slopes, list)
    by_name = {(slope["role"], slope["quantity"]): slope for slope in slopes}
    list_bytes = by_name["gateway control path", "whole_list_bytes"]
    assert not list_bytes["bends"] and 100 < list_bytes["slope"] < 200
    start_bytes = by_name["discovery service", "start_bytes"]
    assert not start_bytes["bends"] and start_bytes["slope"] == pytest.approx(64 * 137, rel=0.2)


def test_hollow_gateways_speak_as_much_as_real_ones(tiny: dict[str, object]) -> None:
    comparisons = tiny["comparisons"]
    assert isinstance(comparisons, list)
    by_name = {one["quantity"]: one for one in comparisons}
    assert by_name["one_change_bytes"]["within"]
    assert {"discovery_calls", "counter_calls_per_request", "request_cpu"} <= set(by_name)
    assert by_name["request_cpu"]["explanation"]


def test_the_faults_of_a_tiny_run_are_told(tiny: dict[str, object]) -> None:
    faults = tiny["faults"]
    assert isinstance(faults, list)
    played = {fault["name"].split(",")[0] for fault in faults}
    assert played >= {"zone lost", "zone back", "restart storm", "slow list service", "counter partitioned"}
    storm = {f["quantity"]: f["value"] for f in faults if f["name"] == "restart storm"}
    assert storm["whole_lists"] == 11  # seven in ten of 16


def test_a_real_gateway_is_measured_with_and_without_changes() -> None:
    with Lab(replace(TINY, window_s=1.0), lambda text: None, 30.0) as lab:
        found = measure_requests(Bench(lab, 60.0), 20)
    assert found["request_cpu"] > 0 and found["process_memory"] > 5
    assert 0 < found["added_p50"] <= found["added_p99"]
    assert 0 < found["added_p50_with_changes"] <= found["added_most_with_changes"]


@pytest.mark.parametrize(
    "words",
    [
        ["scale"],
        ["scale", "--json", "x.json", "--gateways", "few"],
        ["scale", "--json", "x.json", "--hosts", "3"],
        ["scale", "--json", "x.json", "--seed", "-1"],
        ["scale", "--json", "x.json", "--requests-per-second", "nan"],
        ["scale", "--json", "/no/such/folder/x.json"],
        ["shrink"],
        [],
    ],
)
def test_a_wrong_argument_gets_one_line_and_exit_code_2(
    words: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    try:
        code = main(words)
    except SystemExit as error:
        code = error.code if isinstance(error.code, int) else -1
    captured = capsys.readouterr()
    assert code == 2 and captured.out == "" and captured.err.count("\n") == 1


def test_nothing_of_the_emulator_loads_in_the_gateway_or_the_adapter() -> None:
    program = (
        "import sys; import rainturn.node.__main__, rainturn.benchlink; "
        "print([m for m in sys.modules if 'emulator' in m or m in ('psutil', 'hdrh', 'matplotlib')])"
    )
    found = subprocess.run(
        [sys.executable, "-c", program], cwd=ROOT, capture_output=True, text=True, check=True
    )
    assert found.stdout == "[]\n"
    assert "rainturn.node" in run_command() and sys.executable not in described_command()


def test_an_interrupted_run_ends_what_it_started(tmp_path: Path) -> None:
    words = ["scale", "--quick", "--json", str(tmp_path / "found.json")]
    run = subprocess.Popen(
        [sys.executable, "-m", "rainturn.emulator", *words],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    own = psutil.Process(run.pid)
    started: list[psutil.Process] = []
    end = time.monotonic() + 20
    while len(started) < 12 and time.monotonic() < end:
        started = own.children(recursive=True)
        time.sleep(0.05)
    run.send_signal(2)
    _, errors = run.communicate(timeout=20)
    assert run.returncode == 130 and errors.count("\n") == 1
    _, alive = psutil.wait_procs(started, timeout=10)
    assert len(started) >= 12 and not alive
    if (tmp_path / "found.json").exists():  # what was whole by then, and the rest by name
        assert json.loads((tmp_path / "found.json").read_text())["skipped"]


def _fail() -> int:
    raise RuntimeError("as asked")


def test_a_failed_call_is_told_and_a_run_over_its_time_starts_no_more() -> None:
    with Lab(TINY, lambda text: None, 30.0) as lab:
        with pytest.raises(WorkerFailed, match="as asked"):
            lab.result(lab.fresh(_fail))
        lab.until = 0.0
        with pytest.raises(OverBudget):
            lab.fresh(_fail)
    assert RemoteFailure("x").text == "x" and ScaleResult(1, 1, 1, 1.0, 1.0, 1, True, "").skipped == []
