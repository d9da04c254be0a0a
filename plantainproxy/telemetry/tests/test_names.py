"""The list of metrics is complete and has no duplicates."""

import dataclasses

from plantainproxy import _exceptions
from plantainproxy.balancer import datapath, status_report
from plantainproxy.core import routing
from plantainproxy.sidecar import inbox
from plantainproxy.telemetry import names


def test_no_two_metrics_share_a_name() -> None:
    """A counter and a gauge with the same name would overwrite one another."""
    seen = [(metric.part, metric.name) for metric in names.METRICS]
    assert len(set(seen)) == len(seen)


def test_the_balancers_counters_are_the_listed_ones() -> None:
    """A balancer sends only listed counters, so that each one is documented."""
    counter_names = frozenset(status_report.counter_values(datapath.Counters()))
    assert counter_names == names.metric_names(names.Part.BALANCER, names.Kind.COUNTER)
    assert set(names.DROPS) == set(routing.DropReason)


def test_the_sidecars_counters_are_the_listed_ones() -> None:
    """The counters of connections, datagrams and each error kind are listed."""
    counter_names = {field.name for field in dataclasses.fields(inbox.Counters)}
    counter_names |= {f"refusals.{kind}" for kind in _exceptions.ErrorKind}
    assert counter_names == names.metric_names(names.Part.SIDECAR, names.Kind.COUNTER)
