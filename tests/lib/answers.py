"""Bodies of the backend server's answers, which the client checks."""

import hashlib

BLOCK_BYTES = 16
BOARD_PERIOD_SECONDS = 0.2
LINE = b'{"part":"chain","stock":4}\n'


def list_body(service: str, number: str) -> bytes:
    """Return the body of one list."""
    line = f'{service} list {number}: an introduction, a reader, a map\n'
    return line.encode() * 20


def save_answer(body: bytes) -> bytes:
    """Return the body that confirms a save or an upload."""
    return hashlib.sha256(body).hexdigest().encode()


def export_part(offset: int, size: int) -> bytes:
    """Return bytes that depend on their place in the export."""
    first, skipped = divmod(offset, BLOCK_BYTES)
    blocks = range(first, (offset + size) // BLOCK_BYTES + 1)
    whole = b''.join(b'%015d\n' % block for block in blocks)
    return whole[skipped : skipped + size]


def board_line(number: int) -> bytes:
    """Return one event line of a board."""
    return b'%d ' % number + LINE


def board_lines(seconds: float) -> int:
    """Return the number of lines that a board streams."""
    return max(1, int(seconds / BOARD_PERIOD_SECONDS))


def board_body(seconds: float) -> bytes:
    """Return the whole body of a board that stays open for some seconds."""
    return b''.join(map(board_line, range(board_lines(seconds))))
