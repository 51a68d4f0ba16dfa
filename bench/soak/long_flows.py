"""Users of the soak that keep their flows open, with pauses in between."""

__all__ = ('LongFlows',)

import asyncio
import random

from attrs import define, field

from bench.soak.clients import SoakClients, SoakFlow

USERS = 8
# Shortest and longest pause between two requests.
PAUSE_S = (0.2, 3.0)
RETRY_S = 0.05


@define(eq=False)
class LongFlows:
    """Runs the users, and checks their flows after the faults.

    ``open`` holds the flows that are in use.
    """

    clients: SoakClients
    rng: random.Random
    open: list[SoakFlow] = field(factory=list)
    _tasks: list[asyncio.Task[None]] = field(factory=list)

    def start(self) -> None:
        """Start the users."""
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._run_user()) for _ in range(USERS)]

    async def stop(self) -> None:
        """Stop the users, and keep their flows open."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def find_lost(self) -> list[str]:
        """Send a request on each open flow; describe those without an answer.

        Flows that no server holds any more are not counted.
        """
        held = [flow for flow in self.open if self._holders(flow)]
        requests = [
            self.clients.send_request(flow, b'%d:last' % flow.port, 1)
            for flow in held
        ]
        answered = await asyncio.gather(*requests)
        return [
            f'flow {flow.port} at {self._holders(flow)} is not answered'
            for flow, is_answered in zip(held, answered, strict=True)
            if not is_answered and self._holders(flow)
        ]

    async def _run_user(self) -> None:
        while True:
            flow = self.clients.new_flow()
            if await self.clients.open_flow(flow):
                self.open.append(flow)
                await self._use(flow)
                self.open.remove(flow)
            self.clients.drop_flow(flow)
            await asyncio.sleep(RETRY_S)

    async def _use(self, flow: SoakFlow) -> None:
        """Send requests until no server holds the flow."""
        number = 0
        while not number or self._holders(flow):
            number += 1
            payload = b'%d:%d' % (flow.port, number)
            await self.clients.send_request(flow, payload, number)
            await asyncio.sleep(self.rng.uniform(*PAUSE_S))

    def _holders(self, flow: SoakFlow) -> list[str]:
        return [
            backend.name
            for backend in self.clients.backends
            if backend.is_up and flow.key in backend.established
        ]
