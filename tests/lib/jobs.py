"""The kinds of requests that load clients send."""

import random
from collections.abc import Callable
from typing import TypeAlias

from attrs import frozen

from tests.lib import answers
from tests.lib.certificates import SERVER_NAME

THINK_SECONDS = 0.02
SUCCESS = range(200, 300)


@frozen
class Job:
    """One request and the response body that it must get."""

    kind: str
    method: str
    path: str
    expected: bytes
    body: bytes = b''


@frozen
class Options:
    """Options shared by all clients of a load run.

    ``ca`` is the CA certificate in PEM, ``think`` the mean think time in
    seconds; timeouts are in seconds, too.
    """

    ca: str
    seed: int = 1
    server_name: str = SERVER_NAME
    local_host: str = '127.0.0.1'
    think: float = THINK_SECONDS
    export_bytes: int = 300_000
    photo_bytes: int = 120_000
    board_seconds: float = 3.0
    answer_timeout: float = 20.0
    idle_timeout: float = 8.0


JobBuilder: TypeAlias = Callable[[random.Random, Options, str], Job]


def _build_list(rng: random.Random, _options: Options, service: str) -> Job:
    number = str(rng.randrange(1000))
    expected = answers.list_body(service, number)
    return Job('list', 'GET', f'/lists/{number}', expected)


def _build_edit(rng: random.Random, _options: Options, _service: str) -> Job:
    body = rng.randbytes(64)
    path = f'/lists/{rng.randrange(1000)}/edits'
    return Job('edit', 'POST', path, answers.save_answer(body), body)


def _build_ticket(rng: random.Random, _options: Options, _service: str) -> Job:
    body = rng.randbytes(64)
    return Job('ticket', 'POST', '/tickets', answers.save_answer(body), body)


def _build_export(_rng: random.Random, options: Options, _service: str) -> Job:
    size = options.export_bytes
    expected = answers.export_part(0, size)
    return Job('export', 'GET', f'/exports/{size}', expected)


def _build_photo(rng: random.Random, options: Options, _service: str) -> Job:
    body = rng.randbytes(options.photo_bytes)
    path = f'/photos/{rng.randrange(1000)}'
    return Job('photo', 'PUT', path, answers.save_answer(body), body)


def _build_board(_rng: random.Random, options: Options, _service: str) -> Job:
    seconds = options.board_seconds
    path = f'/boards/{seconds}'
    return Job('board', 'GET', path, answers.board_body(seconds))


JOBS: dict[str, JobBuilder] = {
    'list': _build_list,
    'edit': _build_edit,
    'ticket': _build_ticket,
    'export': _build_export,
    'photo': _build_photo,
    'board': _build_board,
}
SAVE_KINDS = frozenset(('edit', 'ticket'))
