"""Self-signed certificates for tests."""

import datetime
import ipaddress
import pathlib
from typing import NamedTuple

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec

NAME = "plantain.test"
"""The name that the certificates are made out to."""
_LIFETIME = datetime.timedelta(days=30)


class Files(NamedTuple):
    """Where a certificate and its private key were written."""

    certificate: pathlib.Path
    private_key: pathlib.Path


def write(directory: pathlib.Path, *, addresses: tuple[str, ...] = ()) -> Files:
    """Make a self-signed certificate for the test name and the given addresses."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, NAME)])
    now = datetime.datetime.now(datetime.UTC)
    alternatives: list[x509.GeneralName] = [x509.DNSName(NAME)]
    alternatives += [x509.IPAddress(ipaddress.ip_address(host)) for host in addresses]
    certificate = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(hours=1))
        .not_valid_after(now + _LIFETIME)
        .add_extension(x509.SubjectAlternativeName(alternatives), critical=False)
        .add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
        .sign(key, hashes.SHA256())
    )
    directory.mkdir(parents=True, exist_ok=True)
    files = Files(directory / "certificate.pem", directory / "private_key.pem")
    files.certificate.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    files.private_key.write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return files
