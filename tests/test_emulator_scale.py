"""Whole scale runs of a few seconds, and the command line of the scale run."""

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
from rainturn.emulator.lab import Options, OverBudget, RunContext
from rainturn.emulator.measurements import ScaleResult
from rainturn.emulator.real_gateway import ROOT, described_command, run_command
from rainturn.emulator.report import write_json
from rainturn.emulator.request_series import RequestTestBench, measure_requests
from rainturn.emulator.scale import run_scale
from rainturn.emulator.workers import RemoteFailure, WorkerFailed

TINY = Options(16, 64, 20, 40.0, 1.0, 1, True, window_s=0.2)


SAVED_RESULTS: list[ScaleResult] = []


@pytest.fixture(scope="module")
def result(tmp_path_factory: pytest.TempPathFactory) -> dict[str, object]:
    json_path = tmp_path_factory.mktemp("scale") / "result.json"
    write_json(run_scale(TINY, lambda text: None, SAVED_RESULTS.append), json_path)
    written: dict[str, object] = json.loads(json_path.read_text())
    return written


def test_tiny_run_skips_no_part_and_saves_after_each(result: dict[str, object]) -> None:
    assert (result["gateways"], result["hosts"], result["tenants"], result["seed"]) == (16, 64, 20, 1)
    assert result["skipped"] == []
    assert [len(saved.skipped) for saved in SAVED_RESULTS] == [5, 4, 3, 2, 1, 0]  # saved after each part
    processes, peak_memory_mb = result["processes"], result["peak_memory_mb"]
    assert isinstance(processes, int) and processes > 10
    assert isinstance(peak_memory_mb, float) and 0 < peak_memory_mb < 6000


def test_slopes_of_tiny_run_are_complete(result: dict[str, object]) -> None:
    slopes = result["slopes"]
    assert isinstance(slopes, list) and len(slopes) >= 20
    for slope in slopes:
        sizes = slope["sizes"]
        assert len(sizes) >= 4 and all(
            larger >= 2 * smaller for smaller, larger in zip(sizes, sizes[1:], strict=False)
        )
        assert slope["held_out_size"] >= 2 * sizes[-1] and len(slope["values"]) == len(sizes)
        assert slope["role"] and slope["unit"] and slope["per"]
        assert slope["bends"] == bool(slope["reason"])
        assert slope["predicted"] is not None or slope["bends"]


def test_byte_counts_of_tiny_run_lie_on_lines(result: dict[str, object]) -> None:
    slopes = result["slopes"]
    assert isinstance(slopes, list)
    by_name = {(slope["role"], slope["quantity"]): slope for slope in slopes}
    list_bytes = by_name["gateway control path", "whole_list_bytes"]
    assert not list_bytes["bends"] and 100 < list_bytes["slope"] < 200
    start_bytes = by_name["discovery service", "start_bytes"]
    assert not start_bytes["bends"] and start_bytes["slope"] == pytest.approx(64 * 137, rel=0.2)


def test_hollow_gateways_exchange_as_many_bytes_per_change_as_real_ones(result: dict[str, object]) -> None:
    comparisons = result["comparisons"]
    assert isinstance(comparisons, list)
    by_name = {comparison["quantity"]: comparison for comparison in comparisons}
    assert by_name["one_change_bytes"]["within"]
    assert {"discovery_calls", "counter_calls_per_request", "request_cpu"} <= set(by_name)
    assert by_name["request_cpu"]["explanation"]


def test_tiny_run_reports_each_fault(result: dict[str, object]) -> None:
    faults = result["faults"]
    assert isinstance(faults, list)
    names = {fault["name"].split(",")[0] for fault in faults}
    assert names >= {"zone lost", "zone back", "restart storm", "slow list service", "counter partitioned"}
    storm = {fault["quantity"]: fault["value"] for fault in faults if fault["name"] == "restart storm"}
    assert storm["whole_lists"] == 11  # seven in ten of 16 gateways


def test_request_path_is_measured_with_and_without_changes() -> None:
    with RunContext(replace(TINY, window_s=1.0), lambda text: None, 30.0) as context:
        figures = measure_requests(RequestTestBench(context, 60.0), 20)
    assert figures["request_cpu"] > 0 and figures["process_memory"] > 5
    assert 0 < figures["added_p50"] <= figures["added_p99"]
    assert 0 < figures["added_p50_with_changes"] <= figures["added_most_with_changes"]


@pytest.mark.parametrize(
    "argv",
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
def test_wrong_argument_gives_one_error_line_and_exit_code_2(
    argv: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    try:
        code = main(argv)
    except SystemExit as error:
        code = error.code if isinstance(error.code, int) else -1
    captured = capsys.readouterr()
    assert code == 2 and captured.out == "" and captured.err.count("\n") == 1


def test_gateway_and_adapter_do_not_import_the_emulator() -> None:
    program = (
        "import sys; import rainturn.node.__main__, rainturn.benchlink; "
        "print([m for m in sys.modules if 'emulator' in m or m in ('psutil', 'hdrh', 'matplotlib')])"
    )
    completed = subprocess.run(
        [sys.executable, "-c", program], cwd=ROOT, capture_output=True, text=True, check=True
    )
    assert completed.stdout == "[]\n"
    assert "rainturn.node" in run_command() and sys.executable not in described_command()


def test_interrupted_run_stops_all_its_processes(tmp_path: Path) -> None:
    argv = ["scale", "--quick", "--json", str(tmp_path / "result.json")]
    run = subprocess.Popen(
        [sys.executable, "-m", "rainturn.emulator", *argv],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    process = psutil.Process(run.pid)
    started: list[psutil.Process] = []
    deadline = time.monotonic() + 20
    while len(started) < 12 and time.monotonic() < deadline:
        started = process.children(recursive=True)
        time.sleep(0.05)
    run.send_signal(2)
    _, errors = run.communicate(timeout=20)
    assert run.returncode == 130 and errors.count("\n") == 1
    _, alive = psutil.wait_procs(started, timeout=10)
    assert len(started) >= 12 and not alive
    # The file holds the parts that were complete by then, and names the others as skipped.
    if (tmp_path / "result.json").exists():
        assert json.loads((tmp_path / "result.json").read_text())["skipped"]


def _fail() -> int:
    raise RuntimeError("as asked")


def test_failed_call_is_reported_and_run_past_its_deadline_starts_no_process() -> None:
    with RunContext(TINY, lambda text: None, 30.0) as context:
        with pytest.raises(WorkerFailed, match="as asked"):
            context.wait_for_result(context.call_in_process(_fail))
        context.deadline = 0.0
        with pytest.raises(OverBudget):
            context.call_in_process(_fail)
    assert RemoteFailure("x").text == "x" and ScaleResult(1, 1, 1, 1.0, 1.0, 1, True, "").skipped == []
