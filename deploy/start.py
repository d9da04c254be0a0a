"""Starts a program of transparent flows: ``python3 -S deploy/start.py balancer``.

The module path need not contain the checkout: it lacks the working directory if
``PYTHONSAFEPATH`` is set.
"""

import os
import sys


def main() -> None:
    """Run the program that the command line names."""
    sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
    from plantainproxy.flows.programs import start

    start.main()


if __name__ == "__main__":
    main()
