"""Stand-in for a backend server, with a journal of the requests it ran.

It serves HTTP/1.1 on these paths: ``GET /lists/<n>``,
``POST /lists/<n>/edits``, ``POST /tickets``, ``GET /exports/<bytes>``,
``PUT /photos/<n>``, ``GET /boards/<seconds>``, ``/health`` and ``/load``.
The paths below ``/control/`` set its behavior and return its journal.
"""

import argparse
import asyncio
import json
import time
from collections import OrderedDict
from collections.abc import Awaitable, Callable

import cattrs
from attrs import evolve

from dragonflyshift._internal.models import Address
from tests.lib import answers, http, standin
from tests.lib.journal import Behavior, JournalEntry

MAX_JOURNAL_ENTRIES = 200_000
EXPORT_PART_BYTES = 16_384
SHED_RETRY_SECONDS = 1
LATE_SECONDS = 3.0


class Backend:
    """Serves requests, injects faults and records what it ran.

    ``peak`` is the largest number of requests that ran at the same time.
    With ``echo`` each journal entry is also printed as its request starts,
    so that it survives a kill of the process.
    """

    def __init__(
        self,
        service: str,
        instance: str,
        slots: int,
        behavior: Behavior,
    ) -> None:
        self.behavior = behavior
        self.journal: OrderedDict[int, JournalEntry] = OrderedDict()
        self.peak = 0
        self.echo = False
        self._unfrozen = asyncio.Event()
        self._unfrozen.set()
        self._service = service
        self._instance = instance
        self._slots = slots
        self._running = 0
        self._entries = 0
        self._started_at = time.monotonic()

    async def handle(self, exchange: http.Exchange) -> None:
        """Route one request to the control port, a probe path or a handler."""
        path = exchange.request.path
        if path.startswith('/control/'):
            await self._control(exchange, path)
        elif path == '/health':
            await exchange.body()
            true_health = 'draining' if self.behavior.drain else 'ok'
            health = self.behavior.health or true_health
            status = 200 if health == 'ok' else 503
            await exchange.reply(status, health.encode())
        elif path == '/load':
            await exchange.body()
            load = self.behavior.load
            true_load = self._running / self._slots
            reported_load = true_load if load < 0 else load
            await exchange.reply_json(
                {'load': reported_load, 'slots': self._slots}
            )
        else:
            await self._admit(exchange)

    async def _admit(self, exchange: http.Exchange) -> None:
        """Run a request if a slot is free, otherwise reply with status 503."""
        behavior = self.behavior
        if behavior.shed or behavior.drain or self._running >= self._slots:
            await exchange.body()
            retry_after = ('retry-after', str(SHED_RETRY_SECONDS))
            shed_header = ('x-backend-shed', '1')
            await exchange.reply(503, b'busy', (retry_after, shed_header))
            return
        entry = self._record_start(exchange.request)
        self._running += 1
        self.peak = max(self.peak, self._running)
        try:
            await self._run(exchange, entry)
        except (asyncio.CancelledError, OSError):
            entry.state = 'abandoned'
            raise
        finally:
            self._running -= 1
            entry.ended = time.time()

    def _record_start(self, request: http.Request) -> JournalEntry:
        entry = JournalEntry(
            request.headers.get('x-request-id', ''),
            request.method,
            request.path,
            self._instance,
            self._service,
            time.time(),
        )
        if self.echo:
            line = {'event': 'run', 'entry': cattrs.unstructure(entry)}
            print(json.dumps(line), flush=True)
        self._entries += 1
        self.journal[self._entries] = entry
        if len(self.journal) > MAX_JOURNAL_ENTRIES:
            self.journal.popitem(last=False)
        return entry

    async def _run(self, exchange: http.Exchange, entry: JournalEntry) -> None:
        body = await exchange.body()
        timeout_ms = exchange.request.headers.get('x-request-timeout-ms', '')
        timeout = int(timeout_ms) / 1000 if timeout_ms else None
        try:
            async with asyncio.timeout(timeout):
                await self._answer(exchange, body)
        except TimeoutError:
            entry.state = 'expired'
            if exchange.head_sent:
                exchange.cut()
            else:
                await exchange.reply(504, b'deadline passed')
            return
        entry.state = 'cut' if self.behavior.cut else 'done'

    async def _answer(self, exchange: http.Exchange, body: bytes) -> None:
        await self._wait_service_time()
        request = exchange.request
        parts = request.path.strip('/').split('/')
        answer = _ANSWERS.get(parts[0])
        if answer is None:
            await exchange.reply(404, b'no such path')
            return
        argument = parts[1] if len(parts) > 1 else ''
        await answer(self, exchange, argument, body)

    async def _wait_service_time(self) -> None:
        """Wait for the service time, and for as long as a freeze lasts."""
        behavior = self.behavior
        await self._unfrozen.wait()
        seconds = behavior.delay
        if time.monotonic() - self._started_at < behavior.cold:
            seconds *= behavior.cold_factor
        if behavior.late:
            seconds += LATE_SECONDS
        await asyncio.sleep(seconds)

    async def _reply(
        self,
        exchange: http.Exchange,
        status: int,
        body: bytes,
    ) -> None:
        """Send the whole response, or half of its body if ``cut`` is set."""
        if not self.behavior.cut:
            await exchange.reply(status, body, self.origin)
            return
        length = ('content-length', str(len(body)))
        await exchange.start(status, (length, *self.origin))
        await exchange.send(body[: len(body) // 2])
        exchange.cut()

    @property
    def origin(self) -> tuple[tuple[str, str], ...]:
        """Headers that name the instance and service that ran a request."""
        return (
            ('x-backend-instance', self._instance),
            ('x-backend-service', self._service),
        )

    async def answer_list(
        self,
        exchange: http.Exchange,
        number: str,
        body: bytes,
    ) -> None:
        """Reply to a GET with a short list and to a POST as to a save."""
        if exchange.request.method == 'POST':
            await self.answer_save(exchange, number, body)
            return
        lines = answers.list_body(self._service, number)
        await self._reply(exchange, 200, lines)

    async def answer_save(
        self,
        exchange: http.Exchange,
        _number: str,
        body: bytes,
    ) -> None:
        """Confirm a save with the digest of its body."""
        await self._reply(exchange, 201, answers.save_answer(body))

    async def answer_photo(
        self,
        exchange: http.Exchange,
        _number: str,
        body: bytes,
    ) -> None:
        """Confirm an upload with the digest of its body."""
        await self._reply(exchange, 201, answers.save_answer(body))

    async def answer_export(
        self,
        exchange: http.Exchange,
        wanted: str,
        _body: bytes,
    ) -> None:
        """Send ``wanted`` bytes, paced by ``export_rate`` bytes per second."""
        total = int(wanted)
        length = ('content-length', str(total))
        await exchange.start(200, (length, *self.origin))
        sent = 0
        while sent < total:
            size = min(EXPORT_PART_BYTES, total - sent)
            part = answers.export_part(sent, size)
            await exchange.send(part)
            sent += len(part)
            if self.behavior.cut and sent >= total // 2:
                exchange.cut()
                return
            await asyncio.sleep(len(part) / self.behavior.export_rate)
        await exchange.finish()

    async def answer_board(
        self,
        exchange: http.Exchange,
        seconds: str,
        _body: bytes,
    ) -> None:
        """Stream numbered event lines for ``seconds``."""
        await exchange.start(200, self.origin)
        for number in range(answers.board_lines(float(seconds))):
            await exchange.send(answers.board_line(number))
            await asyncio.sleep(answers.BOARD_PERIOD_SECONDS)
            await self._unfrozen.wait()
            if self.behavior.cut:
                exchange.cut()
                return
        await exchange.finish()

    async def _control(self, exchange: http.Exchange, path: str) -> None:
        body = await exchange.body()
        match exchange.request.method, path:
            case 'GET', '/control/journal':
                entries = list(self.journal.values())
                await exchange.reply_json(cattrs.unstructure(entries))
            case 'GET', '/control/load':
                await exchange.reply_json(
                    {'running': self._running, 'peak': self.peak},
                )
            case 'PUT', '/control/behavior':
                changes = json.loads(body)
                self.behavior = evolve(self.behavior, **changes)
                if self.behavior.freeze:
                    self._unfrozen.clear()
                else:
                    self._unfrozen.set()
                await exchange.reply(204)
            case _:
                await exchange.reply(404)


_Answer = Callable[[Backend, http.Exchange, str, bytes], Awaitable[None]]
_ANSWERS: dict[str, _Answer] = {
    'lists': Backend.answer_list,
    'tickets': Backend.answer_save,
    'photos': Backend.answer_photo,
    'exports': Backend.answer_export,
    'boards': Backend.answer_board,
}


async def _main(args: argparse.Namespace) -> None:
    behavior = Behavior(delay=args.delay, cold=args.cold)
    backend = Backend(args.service, args.instance, args.slots, behavior)
    backend.echo = args.echo
    listen = args.listen
    server = await http.serve(backend.handle, listen.host, listen.port)
    standin.announce(port=http.bound_port(server))
    await standin.until_stopped()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--listen', type=Address.parse, required=True)
    parser.add_argument('--service', required=True)
    parser.add_argument('--instance', required=True)
    parser.add_argument('--slots', type=int, default=3)
    parser.add_argument('--delay', type=float, default=0.005)
    parser.add_argument('--cold', type=float, default=0)
    parser.add_argument(
        '--echo',
        action='store_true',
        help='print each request as it starts, for tests that kill this server',
    )
    standin.run(_main(parser.parse_args()))


if __name__ == '__main__':
    main()
