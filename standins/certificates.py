"""Certificates for tests: self-signed, or signed by a test authority."""

import datetime
import ipaddress
import pathlib
import typing

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec

SERVER_NAME = "plantain.test"
"""DNS name in the subject alternative names of every certificate."""
AUTHORITY_NAME = "plantain.test authority"
_VALIDITY = datetime.timedelta(days=30)


class Files(typing.NamedTuple):
    """Paths of a certificate and its private key."""

    certificate: pathlib.Path
    private_key: pathlib.Path


class Authority(typing.NamedTuple):
    """Certificate authority of one test site."""

    certificate: x509.Certificate
    private_key: ec.EllipticCurvePrivateKey
    file: pathlib.Path


def write_self_signed(
    directory: pathlib.Path, *, addresses: tuple[str, ...] = ()
) -> Files:
    """Write a self-signed certificate for the test name and the given addresses."""
    key = ec.generate_private_key(ec.SECP256R1())
    builder = _create_builder(SERVER_NAME, SERVER_NAME, key, addresses).add_extension(
        x509.BasicConstraints(ca=True, path_length=0), critical=True
    )
    return _write_files(directory, "", builder.sign(key, hashes.SHA256()), key)


def write_authority(directory: pathlib.Path, *, name: str = "authority") -> Authority:
    """Create a certificate authority and write its certificate."""
    key = ec.generate_private_key(ec.SECP256R1())
    builder = _create_builder(AUTHORITY_NAME, AUTHORITY_NAME, key, ()).add_extension(
        x509.BasicConstraints(ca=True, path_length=0), critical=True
    )
    certificate = builder.sign(key, hashes.SHA256())
    directory.mkdir(parents=True, exist_ok=True)
    file = directory / f"{name}.pem"
    file.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    return Authority(certificate, key, file)


def issue(
    authority: Authority,
    directory: pathlib.Path,
    *,
    name: str,
    addresses: tuple[str, ...] = (),
) -> Files:
    """Write a certificate signed by the authority, usable by servers and clients."""
    key = ec.generate_private_key(ec.SECP256R1())
    builder = _create_builder(name, AUTHORITY_NAME, key, addresses)
    certificate = builder.sign(authority.private_key, hashes.SHA256())
    return _write_files(directory, f"{name}-", certificate, key)


def _create_builder(
    subject: str,
    issuer: str,
    key: ec.EllipticCurvePrivateKey,
    addresses: tuple[str, ...],
) -> x509.CertificateBuilder:
    now = datetime.datetime.now(datetime.UTC)
    alternatives: list[x509.GeneralName] = [x509.DNSName(SERVER_NAME)]
    alternatives += [x509.IPAddress(ipaddress.ip_address(host)) for host in addresses]
    return (
        x509.CertificateBuilder()
        .subject_name(_common_name(subject))
        .issuer_name(_common_name(issuer))
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(hours=1))
        .not_valid_after(now + _VALIDITY)
        .add_extension(x509.SubjectAlternativeName(alternatives), critical=False)
    )


def _common_name(text: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, text)])


def _write_files(
    directory: pathlib.Path,
    prefix: str,
    certificate: x509.Certificate,
    key: ec.EllipticCurvePrivateKey,
) -> Files:
    directory.mkdir(parents=True, exist_ok=True)
    files = Files(
        directory / f"{prefix}certificate.pem", directory / f"{prefix}private_key.pem"
    )
    files.certificate.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    files.private_key.write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return files
