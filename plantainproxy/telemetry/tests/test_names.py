"""The list of metrics is closed: what the processes count is in it."""

import dataclasses

from plantainproxy import _exceptions
from plantainproxy.balancer import datapath, observed
from plantainproxy.core import routing
from plantainproxy.sidecar import inbox
from plantainproxy.telemetry import names


def test_no_two_metrics_share_a_name() -> None:
    """A counter and a gauge of one name would overwrite one another."""
    seen = [(metric.part, metric.name) for metric in names.METRICS]
    assert len(set(seen)) == len(seen)


def test_the_balancers_counters_are_the_listed_ones() -> None:
    """A counter that nobody can look up is not sent."""
    counter_names = frozenset(observed.counters(datapath.Counters()))
    assert counter_names == names.metric_names(names.Part.BALANCER, names.Kind.COUNTER)
    assert set(names.DROPS) == set(routing.DropReason)


def test_the_sidecars_counters_are_the_listed_ones() -> None:
    """Lines, datagrams and every kind of refusal are listed."""
    counter_names = {field.name for field in dataclasses.fields(inbox.Counters)}
    counter_names |= {f"refusals.{kind}" for kind in _exceptions.ErrorKind}
    assert counter_names == names.metric_names(names.Part.SIDECAR, names.Kind.COUNTER)
