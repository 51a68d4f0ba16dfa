"""Read PEM; check that a certificate and a private key belong together."""

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
    """Accept PEM text, or the path of a file that holds it."""
    if text.lstrip().startswith(_PEM_START):
        return text
    try:
        found = _read_limited(Path(text))
    except (OSError, ValueError):
        found = ''
    if not found.lstrip().startswith(_PEM_START):
        raise SettingsError(
            'neither PEM text nor a readable PEM file is given',
            hint='give text that starts with -----BEGIN, or the path to it',
        )
    return found


def check_pair(certificate: str, private_key: str) -> tuple[Fault, ...]:
    """Return the faults of a pair in PEM; no fault repeats the key."""
    try:
        first = x509.load_pem_x509_certificates(certificate.encode())[0]
    except ValueError:
        return (Fault(_CERTIFICATE, '', 'the PEM holds no certificate'),)
    try:
        key = serialization.load_pem_private_key(private_key.encode(), None)
    except (ValueError, TypeError):
        hint = 'give a PEM key that is not encrypted'
        return (Fault(_PRIVATE_KEY, '', 'the PEM holds no key', hint),)
    form = (
        serialization.Encoding.DER,
        serialization.PublicFormat.SubjectPublicKeyInfo,
    )
    if first.public_key().public_bytes(*form) == key.public_key().public_bytes(
        *form,
    ):
        return ()
    hint = 'give the key for which the certificate was issued'
    return (
        Fault(_PRIVATE_KEY, '', 'the key belongs to another certificate', hint),
    )


def _read_limited(path: Path) -> str:
    with path.open(encoding='ascii') as stream:
        return stream.read(MAX_PEM_CHARACTERS)
