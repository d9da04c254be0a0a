"""Starts a program of transparent flows: ``-m plantainproxy.flows.programs.start``.

The programs import their libraries for some tenths of a second on a small instance. A
request to reload the settings ends a process that has no handler for it yet, so it is
blocked and stays pending until the program has installed one.
"""

import importlib
import os
import signal
import sys

PROGRAMS = {
    "balancer": "plantainproxy.flows.programs.balancer_main",
    "sidecar": "plantainproxy.flows.programs.sidecar_main",
}
EXIT_USAGE = 2
LAST_STANDARD_DESCRIPTOR = 2


def balancer() -> None:
    """Run the balancer: ``plantain-flow-balancer``."""
    _run("balancer")


def sidecar() -> None:
    """Run the sidecar: ``plantain-flow-sidecar``."""
    _run("sidecar")


def _run(name: str) -> None:
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    _open_missing_streams()
    importlib.import_module(PROGRAMS[name]).main()


def _open_missing_streams() -> None:
    """Open the null device for closed standard streams.

    A socket would get the descriptor, and the log lines with it.
    """
    while (descriptor := os.open(os.devnull, os.O_RDWR)) <= LAST_STANDARD_DESCRIPTOR:
        pass
    os.close(descriptor)


def main() -> None:
    """Run the program that the command line names."""
    if sys.argv[1:] not in [[name] for name in PROGRAMS]:
        print(f"expected one of: {', '.join(PROGRAMS)}", file=sys.stderr)
        raise SystemExit(EXIT_USAGE)
    _run(sys.argv[1])


if __name__ == "__main__":
    main()
