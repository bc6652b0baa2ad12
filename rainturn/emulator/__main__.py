"""`python -m rainturn.emulator scale`: measure a fleet of gateways on this machine."""

from __future__ import annotations

import argparse
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import NoReturn

from rainturn.emulator.lab import Options
from rainturn.emulator.report import plot, write_json
from rainturn.emulator.scale import run_scale

BAD_ARGUMENT, FAILED, INTERRUPTED = 2, 1, 130
QUICK_WINDOW_S, WINDOW_S = 2.0, 6.0  # multiples of how long a gateway's watch of the host list waits
LEAST = 16  # of gateways and hosts: four sizes that double lie below them


class OneLineParser(argparse.ArgumentParser):
    """Says what is wrong with the arguments in one line."""

    def error(self, message: str) -> NoReturn:
        """End with one line and exit code 2."""
        print(f"{self.prog}: {message}", file=sys.stderr)
        sys.exit(BAD_ARGUMENT)


def _number(kind: Callable[[str], float], least: float, most: float) -> Callable[[str], float]:
    def read(text: str) -> float:
        try:
            value = kind(text)
        except ValueError:
            raise argparse.ArgumentTypeError(f"not a number: {text!r}") from None
        if not least <= value <= most:
            raise argparse.ArgumentTypeError(f"expected {least:g} to {most:g}, got {text}")
        return value

    return read


def parser() -> argparse.ArgumentParser:
    """The command line."""
    top = OneLineParser(prog="python -m rainturn.emulator", description=__doc__)
    commands = top.add_subparsers(dest="command", required=True, parser_class=OneLineParser)
    scale = commands.add_parser("scale", help="hollow gateways beside real ones, on loopback")
    scale.add_argument("--quick", action="store_true", help="smaller sizes, within 45 s")
    scale.add_argument("--gateways", type=_number(int, LEAST, 5000), help="largest fleet")
    scale.add_argument("--hosts", type=_number(int, LEAST, 50_000), help="longest host list")
    scale.add_argument("--tenants", type=_number(int, LEAST, 200_000), help="most customers")
    scale.add_argument("--requests-per-second", type=_number(float, 1, 10_000), help="of the largest fleet")
    scale.add_argument("--changes-per-second", type=_number(float, 0.01, 100), help="of the host list")
    scale.add_argument("--seed", type=_number(int, 0, 2**31), default=1)
    scale.add_argument("--json", type=Path, required=True, metavar="FILE")
    scale.add_argument("--plot", type=Path, metavar="DIR")
    return top


def options_from(arguments: argparse.Namespace) -> Options:
    """The asked-for sizes, or those of the planned fleet, or of a quick run."""
    quick: bool = arguments.quick
    return Options(
        gateways=int(arguments.gateways or (96 if quick else 1300)),
        hosts=int(arguments.hosts or (3200 if quick else 17_000)),
        tenants=int(arguments.tenants or (2000 if quick else 100_000)),
        requests_per_second=arguments.requests_per_second or (200.0 if quick else 2600.0),
        changes_per_second=arguments.changes_per_second or 1.0,
        seed=int(arguments.seed),
        quick=quick,
        window_s=QUICK_WINDOW_S if quick else WINDOW_S,
    )


def main(words: list[str] | None = None) -> int:
    """Run the command line and return the exit code."""
    arguments = parser().parse_args(words)
    file: Path = arguments.json
    if not file.parent.is_dir():
        print(f"python -m rainturn.emulator: no such folder: {file.parent}", file=sys.stderr)
        return BAD_ARGUMENT
    # A shell starts background jobs with SIGINT ignored; an interrupt has to end the run there too.
    signal.signal(signal.SIGINT, signal.default_int_handler)
    try:
        result = run_scale(
            options_from(arguments),
            lambda text: print(text, flush=True),
            lambda found: write_json(found, file),
        )
    except KeyboardInterrupt:
        print("interrupted: all that was started has ended, whole parts are kept", file=sys.stderr)
        return INTERRUPTED
    write_json(result, file)
    if arguments.plot is not None:
        plot(result.slopes, arguments.plot)
    print(f"{len(result.slopes)} slopes, {len(result.skipped)} parts left out: {file}")
    return FAILED if result.skipped else 0


if __name__ == "__main__":
    sys.exit(main())
