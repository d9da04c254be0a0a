"""TLS credentials for gRPC, and the restriction of plaintext to loopback."""

import pathlib

import grpc

from plantainproxy import _exceptions, _types
from plantainproxy.settings import check, model


def has_certificates(tls: model.Tls) -> bool:
    """Return whether the settings name certificates.

    The certificate, the private key and the authority must be set together.
    """
    files = (tls.certificate_file, tls.private_key_file, tls.authority_file)
    if any(files) and not all(files):
        raise _settings_error(
            "tls: certificate, private key and authority must be set together"
        )
    return all(files)


def check_plaintext(address: _types.Address, tls: model.Tls) -> None:
    """Raise for a non-loopback address unless the settings allow plaintext there."""
    if tls.allow_plaintext_beyond_loopback:
        return
    if not check.is_loopback(address):
        raise _settings_error(
            f"tls: {address} is not on loopback and no certificate is set"
        )


def for_channel(tls: model.Tls) -> grpc.ChannelCredentials | None:
    """Return the credentials of a client; ``None`` for plaintext."""
    if not has_certificates(tls):
        return None
    return grpc.ssl_channel_credentials(
        root_certificates=_read(tls.authority_file),
        private_key=_read(tls.private_key_file),
        certificate_chain=_read(tls.certificate_file),
    )


def for_server(tls: model.Tls) -> grpc.ServerCredentials | None:
    """Return the credentials of a server; ``None`` for plaintext.

    The server rejects clients without a certificate of the same authority.
    """
    if not has_certificates(tls):
        return None
    return grpc.ssl_server_credentials(
        [(_read(tls.private_key_file), _read(tls.certificate_file))],
        root_certificates=_read(tls.authority_file),
        require_client_auth=True,
    )


def _read(path: str) -> bytes:
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as error:
        raise _settings_error(f"{path}: {error.strerror}") from None


def _settings_error(detail: str) -> _exceptions.PlantainError:
    return _exceptions.PlantainError(_exceptions.ErrorKind.INVALID_SETTINGS, detail)
