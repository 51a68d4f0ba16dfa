"""Conversion of headers between HTTP/3 and HTTP/1.1."""

__all__ = ('Headers', 'has_header', 'strip_hop_by_hop')

Headers = tuple[tuple[bytes, bytes], ...]

_CONNECTION = b'connection'
_HOP_BY_HOP = frozenset(
    (
        _CONNECTION,
        # The body is sent without waiting for a 100 response.
        b'expect',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    ),
)


def strip_hop_by_hop(headers: Headers) -> Headers:
    """Remove hop-by-hop headers and those that Connection lists."""
    dropped = _HOP_BY_HOP | _named_by_connection(headers)
    return tuple(
        (name, value) for name, value in headers if name.lower() not in dropped
    )


def has_header(headers: Headers, wanted: bytes) -> bool:
    """Return whether a header is present; ``wanted`` is in lower case."""
    return any(name.lower() == wanted for name, _value in headers)


def _named_by_connection(headers: Headers) -> frozenset[bytes]:
    listed = b','.join(
        value for name, value in headers if name.lower() == _CONNECTION
    )
    return frozenset(token.strip().lower() for token in listed.split(b','))
