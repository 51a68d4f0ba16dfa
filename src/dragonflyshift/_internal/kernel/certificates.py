"""Reading PEM, and checking that a private key matches a certificate."""

from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import serialization

from dragonflyshift._internal.exceptions import SettingsError
from dragonflyshift._internal.models.fault import Fault

MAX_PEM_CHARACTERS = 65536
_PEM_START = '-----BEGIN '
_CERTIFICATE = '--certificate'
_PRIVATE_KEY = '--private-key'


def parse_pem(text: str) -> str:
    """Return PEM text that is given directly or as a file path.

    Raises SettingsError, which doesn't contain the text as it may be secret.
    """
    if text.lstrip().startswith(_PEM_START):
        return text
    try:
        pem = _read_limited(Path(text))
    except (OSError, ValueError):
        pem = ''
    if not pem.lstrip().startswith(_PEM_START):
        raise SettingsError(
            'the value is neither PEM text nor the path of a readable PEM file',
            hint='give text that starts with -----BEGIN, or its file path',
        )
    return pem


def check_key_pair(certificate: str, private_key: str) -> tuple[Fault, ...]:
    """Return the faults of a certificate and its private key, both PEM text.

    No fault contains the key.
    """
    try:
        leaf = x509.load_pem_x509_certificates(certificate.encode())[0]
    except ValueError:
        return (Fault(_CERTIFICATE, '', 'the PEM holds no certificate'),)
    try:
        key = serialization.load_pem_private_key(private_key.encode(), None)
    except (ValueError, TypeError):
        hint = 'give a PEM key that is not encrypted'
        return (Fault(_PRIVATE_KEY, '', 'the PEM holds no key', hint),)
    key_format = (
        serialization.Encoding.DER,
        serialization.PublicFormat.SubjectPublicKeyInfo,
    )
    if leaf.public_key().public_bytes(
        *key_format
    ) == key.public_key().public_bytes(
        *key_format,
    ):
        return ()
    hint = 'give the key for which the certificate was issued'
    return (
        Fault(_PRIVATE_KEY, '', 'the key belongs to another certificate', hint),
    )


def _read_limited(path: Path) -> str:
    with path.open(encoding='ascii') as stream:
        return stream.read(MAX_PEM_CHARACTERS)
