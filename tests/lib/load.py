"""Load clients that send a mix of requests and check every answer."""

import asyncio
import itertools
import random
import time
from collections.abc import Sequence

from attrs import Factory, define, frozen

from dragonflyshift._internal.models import Address
from tests.lib.h3 import FlowError, H3Client
from tests.lib.jobs import JOBS, SAVE_KINDS, SUCCESS, Job, Options
from tests.lib.stream import NOT_RUN, Response
from tests.lib.summary import ID_SEPARATOR, Refusal, Summary

KEY_PATH = '/.well-known/dragonflyshift/idempotency-key'
KEY_HEADER = 'idempotency-key'
# Applies to the request for a key and to the save itself.
SAVE_ATTEMPTS = 4
MAX_RETRY_SECONDS = 1.0
DEFAULT_RETRY_SECONDS = 0.2
# The smallest and the largest number.
REQUESTS_PER_FLOW = (4, 16)


@frozen
class Target:
    """A service address and the mix of requests to send to it.

    ``mix`` maps each kind of request to its weight; ``clients`` is the
    number of concurrent clients, each with at most one open flow.
    """

    address: Address
    service: str
    mix: dict[str, float]
    clients: int = 4

    @classmethod
    def parse(cls, text: str) -> 'Target':
        """Parse ``address,service,clients,kind=weight[,kind=weight]``."""
        address, service, clients, *kinds = text.split(',')
        pairs = [each.partition('=') for each in kinds]
        mix = {kind: float(weight) for kind, _sign, weight in pairs}
        return cls(Address.parse(address), service, mix, int(clients))


@define(eq=False)
class Worker:
    """One client: repeatedly opens a flow and sends requests on it."""

    target: Target
    options: Options
    number: int
    summary: Summary
    _conn: H3Client | None = None
    _ids: 'itertools.count[int]' = Factory(itertools.count)

    async def run(self, stopped: asyncio.Event) -> None:
        """Send requests until ``stopped`` is set; finish the last one."""
        rng = random.Random(
            f'{self.options.seed}-{self.target.service}-{self.number}',
        )
        while not stopped.is_set():
            for _ in range(rng.randint(*REQUESTS_PER_FLOW)):
                if stopped.is_set():
                    break
                await self.perform(self._build_job(rng))
                await asyncio.sleep(rng.random() * 2 * self.options.think)
            await self.aclose()

    async def perform(self, job: Job) -> bool:
        """Run one request; return True if its answer was complete and right."""
        name = ID_SEPARATOR.join(
            (
                self.target.service,
                str(self.options.seed),
                str(self.number),
                str(next(self._ids)),
            ),
        )
        self.summary.requests += 1
        if job.kind in SAVE_KINDS:
            return await self._save(job, name)
        answer = await self._attempt(job, f'{name}{ID_SEPARATOR}1')
        if answer is not None and answer.outcome == NOT_RUN:
            await asyncio.sleep(_retry_after(answer))
        return answer is not None and self._is_correct(job, answer)

    async def aclose(self) -> None:
        """Close the flow."""
        conn = self._conn
        self._conn = None
        if conn is not None:
            await conn.aclose()

    def _build_job(self, rng: random.Random) -> Job:
        kinds = list(self.target.mix)
        weights = list(self.target.mix.values())
        kind = rng.choices(kinds, weights)[0]
        return JOBS[kind](rng, self.options, self.target.service)

    async def _save(self, job: Job, name: str) -> bool:
        """Send a save, repeated with its key until the outcome is known.

        Returns True if the save was confirmed.
        """
        self.summary.saves += 1
        key = await self._request_key()
        if not key:
            self.summary.record_problem(f'{name}: no idempotency key')
            return False
        headers = ((KEY_HEADER, key),)
        for attempt in range(1, SAVE_ATTEMPTS + 1):
            request_id = f'{name}{ID_SEPARATOR}{attempt}'
            answer = await self._attempt(job, request_id, headers)
            if answer is None:
                continue
            if self._is_correct(job, answer):
                self.summary.record_confirmed_save(name)
                return True
            if answer.complete and answer.outcome != NOT_RUN:
                return False
            await asyncio.sleep(_retry_after(answer))
        return False

    async def _request_key(self) -> str:
        for _ in range(SAVE_ATTEMPTS):
            conn = await self._ensure_connected()
            if conn is None:
                continue
            answer = await self._exchange(conn, 'POST', KEY_PATH, (), b'')
            if answer.complete and answer.status in SUCCESS:
                return answer.body.decode()
            await asyncio.sleep(_retry_after(answer))
        return ''

    async def _attempt(
        self,
        job: Job,
        request_id: str,
        headers: Sequence[tuple[str, str]] = (),
    ) -> Response | None:
        """Send a request once; return None if no flow could be opened."""
        conn = await self._ensure_connected()
        if conn is None:
            return None
        started = time.monotonic()
        fields = (('x-request-id', request_id), *headers)
        answer = await self._exchange(
            conn,
            job.method,
            job.path,
            fields,
            job.body,
        )
        seconds = time.monotonic() - started
        self._count_result(job, request_id, answer, seconds)
        self._count_origin(answer)
        return answer

    async def _exchange(
        self,
        conn: H3Client,
        method: str,
        path: str,
        headers: Sequence[tuple[str, str]],
        body: bytes,
    ) -> Response:
        try:
            answer = await conn.request(
                method,
                path,
                headers,
                body,
                self.options.answer_timeout,
            )
        except FlowError as exc:
            answer = Response(0, {}, b'', complete=False, failure=str(exc))
        if conn.failure:
            self._conn = None
        return answer

    async def _ensure_connected(self) -> H3Client | None:
        if self._conn is not None and not self._conn.leaving:
            return self._conn
        await self.aclose()
        options = self.options
        try:
            self._conn = await H3Client.connect(
                self.target.address,
                options.ca,
                options.server_name,
                idle_timeout=options.idle_timeout,
                local_host=options.local_host,
            )
        except FlowError as exc:
            self.summary.failed_handshakes += 1
            self.summary.record_problem(f'{self.target.service}: {exc}')
            await asyncio.sleep(DEFAULT_RETRY_SECONDS)
            return None
        self.summary.flows += 1
        return self._conn

    def _count_result(
        self,
        job: Job,
        request_id: str,
        answer: Response,
        seconds: float,
    ) -> None:
        summary = self.summary
        if self._is_correct(job, answer):
            summary.whole += 1
            summary.record_latency(job.kind, seconds)
            return
        problem = f'{request_id} {job.path}: '
        if answer.outcome == NOT_RUN:
            now = time.time()
            service = self.target.service
            refusal = Refusal(request_id, service, now - seconds, now)
            summary.record_refusal(refusal)
        elif answer.flow_broken:
            summary.broken_flows += 1
            summary.record_problem(problem + answer.failure)
        elif answer.status in SUCCESS:
            summary.wrong_body += 1
            summary.record_problem(f'{problem}wrong body')
        else:
            summary.count_error(answer.outcome, f'{problem}{answer.status}')

    def _count_origin(self, answer: Response) -> None:
        origin = answer.headers.get('x-backend-service', '')
        if origin not in {'', self.target.service}:
            self.summary.wrong_service += 1

    def _is_correct(self, job: Job, answer: Response) -> bool:
        return (
            answer.complete
            and answer.status in SUCCESS
            and answer.body == job.expected
        )


class Load:
    """All clients of one run.

    Example:
        >>> async def drive(targets: list[Target], ca: str) -> Summary:
        ...     load = Load(targets, Options(ca=ca, seed=7))
        ...     await load.run(5)
        ...     return load.summary
    """

    def __init__(self, targets: Sequence[Target], options: Options) -> None:
        self.summary = Summary()
        self._stopped = asyncio.Event()
        self._workers = [
            Worker(target, options, number, self.summary)
            for target in targets
            for number in range(target.clients)
        ]
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start all clients."""
        self._tasks = [
            asyncio.create_task(worker.run(self._stopped))
            for worker in self._workers
        ]

    async def stop(self) -> Summary:
        """Stop all clients after their current request; return the summary."""
        self._stopped.set()
        await asyncio.gather(*self._tasks)
        return self.summary

    async def run(self, seconds: float) -> Summary:
        """Drive the load for ``seconds`` and return the summary."""
        self.start()
        await asyncio.sleep(seconds)
        return await self.stop()


def _retry_after(answer: Response) -> float:
    """Return the seconds to wait before a retry, at most MAX_RETRY_SECONDS."""
    text = answer.headers.get('retry-after', '')
    seconds = float(text) if text.isdigit() else DEFAULT_RETRY_SECONDS
    return min(seconds, MAX_RETRY_SECONDS)
