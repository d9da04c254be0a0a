"""Interoperability with another QUIC and HTTP/3 library: ngtcp2 and nghttp3 in curl."""

from curl_cffi import const, requests
import pytest
import trio

from testbed import cluster as cluster_module
from testbed import invariants, load, site

TEST_TIMEOUT_SECONDS = 120
CALL_TIMEOUT_SECONDS = 10


def _call(
    session: "requests.Session[requests.Response]",
    method: str,
    url: str,
    headers: dict[str, str],
) -> requests.Response:
    return session.request(
        method,  # type: ignore[arg-type]
        url,
        headers={"token": "fleet-control.curl", **headers},
        data=b"schedule" if method == "POST" else None,
        http_version=const.CurlHttpVersion.V3ONLY,
        verify=False,
        timeout=CALL_TIMEOUT_SECONDS,
    )


def _read_and_repeat_command(url: str) -> str:
    """Send a GET, then the same command on two connections.

    Returns the idempotency key of the command.
    """
    with requests.Session() as session:
        read_response = _call(session, "GET", url, {})
        assert read_response.status_code == 200
        key = f"{read_response.headers['idempotency-ticket']}.curl"
        first_response = _call(session, "POST", url, {"idempotency-key": key})
    with requests.Session() as session:
        second_response = _call(session, "POST", url, {"idempotency-key": key})
    assert first_response.status_code == second_response.status_code == 200
    assert first_response.content == second_response.content
    return key


async def _scenario() -> None:
    async with cluster_module.running_cluster(site.SMALL) as cluster:
        url = f"https://{cluster.services['fleet-control']}/work/curl"
        key = await trio.to_thread.run_sync(_read_and_repeat_command, url)
        log = await invariants.read_all(cluster)
        assert invariants.violations(log, load.Load(), log_is_complete=False) == []
        executions = [
            execution for execution in log.executions() if execution.key == key
        ]
        assert len(executions) == 1


@pytest.mark.proof(promise=7, fault="repeated on a new connection", step="answered")
def test_another_http3_library_reads_and_repeats_a_command() -> None:
    """The command runs once, and both connections get the same complete response."""

    async def run_with_timeout() -> None:
        with trio.fail_after(TEST_TIMEOUT_SECONDS):
            await _scenario()

    trio.run(run_with_timeout)
