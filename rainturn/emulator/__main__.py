"""`python -m rainturn.emulator scale`: measure a fleet of gateways on this machine."""

from __future__ import annotations

import argparse
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import NoReturn

from rainturn.emulator.lab import Options
from rainturn.emulator.report import plot_slopes, write_json
from rainturn.emulator.scale import run_scale

EXIT_USAGE, EXIT_INCOMPLETE, EXIT_INTERRUPTED = 2, 1, 130
# Multiples of how long a gateway's watch of the host list waits for a change.
QUICK_WINDOW_S, WINDOW_S = 2.0, 6.0
MIN_SIZE = 16  # of gateways, hosts and tenants: the least with four sizes below it that double


class OneLineParser(argparse.ArgumentParser):
    """Reports a wrong argument in one line, without the usage text."""

    def error(self, message: str) -> NoReturn:
        """Print one line to standard error and exit with code 2."""
        print(f"{self.prog}: {message}", file=sys.stderr)
        sys.exit(EXIT_USAGE)


def _number_between(
    convert: Callable[[str], float], minimum: float, maximum: float
) -> Callable[[str], float]:
    def parse(text: str) -> float:
        try:
            value = convert(text)
        except ValueError:
            raise argparse.ArgumentTypeError(f"not a number: {text!r}") from None
        if not minimum <= value <= maximum:
            raise argparse.ArgumentTypeError(f"expected {minimum:g} to {maximum:g}, got {text}")
        return value

    return parse


def make_parser() -> argparse.ArgumentParser:
    """Return a parser for the command line."""
    top = OneLineParser(prog="python -m rainturn.emulator", description=__doc__)
    commands = top.add_subparsers(dest="command", required=True, parser_class=OneLineParser)
    scale = commands.add_parser("scale", help="hollow gateways beside real ones, on loopback")
    scale.add_argument("--quick", action="store_true", help="smaller sizes, within 45 s")
    scale.add_argument(
        "--gateways", type=_number_between(int, MIN_SIZE, 5000), help="gateways in the largest fleet"
    )
    scale.add_argument(
        "--hosts", type=_number_between(int, MIN_SIZE, 50_000), help="hosts in the longest list"
    )
    scale.add_argument("--tenants", type=_number_between(int, MIN_SIZE, 200_000), help="customers at most")
    scale.add_argument(
        "--requests-per-second", type=_number_between(float, 1, 10_000), help="at the largest fleet"
    )
    scale.add_argument(
        "--changes-per-second", type=_number_between(float, 0.01, 100), help="of the host list"
    )
    scale.add_argument("--seed", type=_number_between(int, 0, 2**31), default=1)
    scale.add_argument("--json", type=Path, required=True, metavar="FILE")
    scale.add_argument("--plot", type=Path, metavar="DIR")
    return top


def options_from(arguments: argparse.Namespace) -> Options:
    """Return the sizes given on the command line; the defaults are the planned fleet's or a quick run's."""
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


def main(argv: list[str] | None = None) -> int:
    """Run the command line and return the exit code: 0 if no part was skipped."""
    arguments = make_parser().parse_args(argv)
    json_path: Path = arguments.json
    if not json_path.parent.is_dir():
        print(f"python -m rainturn.emulator: no such folder: {json_path.parent}", file=sys.stderr)
        return EXIT_USAGE
    # A shell starts background jobs with SIGINT ignored; an interrupt has to end such a run too.
    signal.signal(signal.SIGINT, signal.default_int_handler)
    try:
        result = run_scale(
            options_from(arguments),
            lambda text: print(text, flush=True),
            lambda partial_result: write_json(partial_result, json_path),
        )
    except KeyboardInterrupt:
        print(
            "interrupted: all processes of the run have been stopped, complete parts are saved",
            file=sys.stderr,
        )
        return EXIT_INTERRUPTED
    write_json(result, json_path)
    if arguments.plot is not None:
        plot_slopes(result.slopes, arguments.plot)
    print(f"{len(result.slopes)} slopes, {len(result.skipped)} parts skipped: {json_path}")
    return EXIT_INCOMPLETE if result.skipped else 0


if __name__ == "__main__":
    sys.exit(main())
