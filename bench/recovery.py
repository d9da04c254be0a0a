"""Shows who is served on time after all processes and upstreams have restarted.

Run with ``python -m bench.recovery``: for each seed, the share on time of the requests
sent in each half second after the loss of power, and that of an order with full
knowledge. The run has no network and repeats to the digit.
"""

import functools
import sys

from testbed import recovery_site

OUTAGE = recovery_site.Outage(sidecars_seconds=1.7, balancers_seconds=2.0)
SEEDS = (1, 2, 3)
WINDOW_SECONDS = 0.5
SHOWN_SECONDS = 6.0
SETTLE_SECONDS = 5.0


def main() -> None:
    """Print one row for each seed and a row of means."""
    seeds = [int(text) for text in sys.argv[1:]] or SEEDS
    starts = [
        WINDOW_SECONDS * number for number in range(int(SHOWN_SECONDS / WINDOW_SECONDS))
    ]
    print("from (s)     " + " ".join(f"{start:5.1f}" for start in starts))
    for seed in seeds:
        site = recovery_site.Site(outage=OUTAGE, seed=seed)
        site.run_outage(SHOWN_SECONDS + SETTLE_SECONDS)
        best = functools.partial(recovery_site.best_on_time_share, site)
        for name, share in (("on time", site.on_time_share), ("best", best)):
            shares = [share(start, start + WINDOW_SECONDS) for start in starts]
            row = " ".join(f"{value:5.2f}" for value in shares)
            print(f"{seed:3} {name:8} {row}  mean {sum(shares) / len(shares):.3f}")


if __name__ == "__main__":
    main()
