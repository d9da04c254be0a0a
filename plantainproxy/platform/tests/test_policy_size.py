"""A configuration that one process applies reaches the others."""

import msgspec

from plantainproxy.flows import policy
from plantainproxy.flows.control import document_exchange
from plantainproxy.platform import configuration
from plantainproxy.store import revisioned

SPLITS = 17_000
NAME = "p" * 1_000


def test_a_configuration_that_is_applied_can_be_pulled() -> None:
    """Guards against processes that never get a configuration which relays apply.

    A process that a relay covers pulls it and does not read the store.
    """
    split = {"service": NAME, "weight": 1.0}
    route = {
        "name": "r",
        "host": "10.0.0.1",
        "prefix": "/80/",
        "traffic_split": [split] * SPLITS,
    }
    document = msgspec.json.encode({"version": 1, "routes": [route]})
    decoded = configuration.decode_policy(
        {configuration.CONFIGURATION_KEY: document}, revisioned.Revision(0, 1)
    )
    is_refused = isinstance(decoded, policy.Refused)
    size = len(msgspec.msgpack.encode(decoded))
    assert is_refused or size <= document_exchange.MAX_DOCUMENT_BYTES
