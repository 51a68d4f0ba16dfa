"""Short-lived certificate authorities and server certificates for tests."""

import datetime

from attrs import frozen
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

VALID_DAYS = 2
SERVER_NAME = 'dragonflyshift.test'


@frozen
class Certificates:
    """A CA certificate, a server certificate and its private key, in PEM."""

    ca: str
    certificate: str
    private_key: str


def issue(server_name: str = SERVER_NAME) -> Certificates:
    """Create a certificate authority and a server certificate it signs."""
    ca_key = ec.generate_private_key(ec.SECP256R1())
    ca_name = _name('dragonflyshift test authority')
    ca_subject = x509.BasicConstraints(ca=True, path_length=0)
    ca = (
        _builder(ca_name, ca_name, ca_key.public_key())
        .add_extension(ca_subject, critical=True)
        .sign(ca_key, hashes.SHA256())
    )
    key = ec.generate_private_key(ec.SECP256R1())
    names = x509.SubjectAlternativeName([x509.DNSName(server_name)])
    server = (
        _builder(_name(server_name), ca_name, key.public_key())
        .add_extension(names, critical=False)
        .sign(ca_key, hashes.SHA256())
    )
    return Certificates(_pem(ca), _pem(server), _key_pem(key))


def build_certificate(host: str) -> tuple[str, str]:
    """Return a server certificate and its private key, in PEM."""
    issued = issue(host)
    return issued.certificate, issued.private_key


def _name(text: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])


def _builder(
    subject: x509.Name,
    issuer: x509.Name,
    public_key: ec.EllipticCurvePublicKey,
) -> x509.CertificateBuilder:
    now = datetime.datetime.now(datetime.UTC)
    day = datetime.timedelta(days=1)
    return (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer)
        .public_key(public_key)
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - day)
        .not_valid_after(now + VALID_DAYS * day)
    )


def _pem(certificate: x509.Certificate) -> str:
    return certificate.public_bytes(serialization.Encoding.PEM).decode()


def _key_pem(key: ec.EllipticCurvePrivateKey) -> str:
    return key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    ).decode()
