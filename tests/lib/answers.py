"""Response bodies of the backend server stand-in.

The load clients compute the same bodies to check each response.
"""

import hashlib

BLOCK_BYTES = 16
BOARD_PERIOD_SECONDS = 0.2
EVENT_TEXT = b'{"part":"chain","stock":4}\n'


def list_body(service: str, number: str) -> bytes:
    """Return the response body for one list."""
    line = f'{service} list {number}: an introduction, a reader, a map\n'
    return line.encode() * 20


def save_answer(body: bytes) -> bytes:
    """Return the response body that confirms a save or an upload.

    It is the SHA-256 digest of the request body, in hexadecimal.
    """
    return hashlib.sha256(body).hexdigest().encode()


def export_part(offset: int, size: int) -> bytes:
    """Return ``size`` bytes of an export, starting at byte ``offset``.

    The bytes depend on their offset, so that a client detects missing,
    repeated or reordered parts.
    """
    first, skipped = divmod(offset, BLOCK_BYTES)
    blocks = range(first, (offset + size) // BLOCK_BYTES + 1)
    whole = b''.join(b'%015d\n' % block for block in blocks)
    return whole[skipped : skipped + size]


def board_line(number: int) -> bytes:
    """Return the event line with this number of a board."""
    return b'%d ' % number + EVENT_TEXT


def board_lines(seconds: float) -> int:
    """Return how many lines a board streams in ``seconds``, at least 1."""
    return max(1, int(seconds / BOARD_PERIOD_SECONDS))


def board_body(seconds: float) -> bytes:
    """Return the whole body of a board that streams for ``seconds``."""
    return b''.join(map(board_line, range(board_lines(seconds))))
