"""Test of the stand-in store as a separate process."""

import json
import subprocess
import sys
from urllib import request

REQUEST_TIMEOUT_SECONDS = 20.0


def _post(address: str, path: str, body: object) -> object:
    with request.urlopen(
        f"http://{address}{path}",
        data=json.dumps(body).encode(),
        timeout=REQUEST_TIMEOUT_SECONDS,
    ) as response:
        return json.load(response)


def test_the_process_reports_its_addresses_and_counts_calls() -> None:
    """Checks both printed addresses: first the store's, then the control address.

    The control address still works while the store's address refuses connections.
    """
    process = subprocess.Popen(
        [sys.executable, "-m", "standins.store", "--port", "0"],
        stdout=subprocess.PIPE,
        text=True,
    )
    with process:
        try:
            assert process.stdout is not None
            ready, address = process.stdout.readline().split()
            control, control_address = process.stdout.readline().split()
            assert (ready, control) == ("ready", "control")
            _post(address, "/v3/kv/range", {"key": "YQ=="})
            _post(address, "/standin/faults", {"down": "refused"})
            faults = _post(control_address, "/standin/faults", {"down": ""})
            assert isinstance(faults, dict)
            assert faults["down"] == ""
            url = f"http://{control_address}/standin/counts"
            with request.urlopen(url, timeout=REQUEST_TIMEOUT_SECONDS) as response:
                assert json.load(response) == {"range": 1}
        finally:
            process.terminate()
