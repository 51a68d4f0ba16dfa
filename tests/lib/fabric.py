"""Stand-in for the fabric: sends each datagram to a random balancer.

Each pair of service address and client address has one upstream socket.
Datagrams that arrive on it are sent to the client from the service address.
"""

import argparse
import asyncio
import random
from collections import Counter, OrderedDict
from typing import Any, TypeAlias

import cattrs
from attrs import define, field, frozen

from dragonflyshift._internal.models import Address
from tests.lib import http, standin

# Per service address; the least recently active client is evicted.
MAX_CLIENTS = 2048
REORDER_DELAY_SECONDS = 0.01
SocketAddress: TypeAlias = tuple[str, int]


@frozen
class Faults:
    """Faults that the fabric injects in both directions.

    ``loss``, ``duplicate`` and ``reorder`` are the ratios of datagrams
    affected. ``cut`` drops all datagrams of all clients, ``cut_clients``
    those of the named clients (host:port).
    """

    loss: float = 0
    duplicate: float = 0
    reorder: float = 0
    cut: bool = False
    cut_clients: frozenset[str] = frozenset()


@define
class Counts:
    """Numbers of datagrams forwarded and dropped.

    ``by_client`` counts the datagrams to each balancer per client.
    """

    to_balancer: Counter[str] = field(factory=Counter)
    from_balancer: Counter[str] = field(factory=Counter)
    by_client: dict[str, Counter[str]] = field(factory=dict)
    dropped: int = 0


class _Upstream(asyncio.DatagramProtocol):
    """The socket towards the balancers for one client of a service.

    ``pending`` holds the datagrams received before the socket was open.
    """

    def __init__(self, service: '_Service', client: SocketAddress) -> None:
        self.client = client
        self.name = f'{client[0]}:{client[1]}'
        self.pending: list[bytes] = []
        self.transport: asyncio.DatagramTransport | None = None
        self._service = service

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        for datagram in self.pending:
            self._service.to_balancer(self, datagram)
        self.pending.clear()

    def datagram_received(self, datagram: bytes, addr: SocketAddress) -> None:
        self._service.to_client(self, datagram, addr[0])


class _Service(asyncio.DatagramProtocol):
    """The socket on one service address and its upstream sockets."""

    def __init__(self, fabric: 'Fabric', address: Address) -> None:
        self._fabric = fabric
        self._address = address
        self._clients: OrderedDict[SocketAddress, _Upstream] = OrderedDict()
        self._transport: asyncio.DatagramTransport | None = None
        self._connecting: set[asyncio.Task[None]] = set()

    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def datagram_received(self, datagram: bytes, addr: SocketAddress) -> None:
        upstream = self._clients.get(addr)
        if upstream is None:
            upstream = self._open(addr)
        self._clients.move_to_end(addr)
        if upstream.transport is None:
            upstream.pending.append(datagram)
            return
        self.to_balancer(upstream, datagram)

    def to_balancer(self, upstream: _Upstream, datagram: bytes) -> None:
        fabric = self._fabric
        for delay in fabric.copy_delays(upstream.name):
            balancer = fabric.choose_balancer()
            if balancer is None or upstream.transport is None:
                return
            fabric.counts.to_balancer[balancer] += 1
            by_client = fabric.counts.by_client
            by_client.setdefault(upstream.name, Counter())[balancer] += 1
            destination = (balancer, self._address.port)
            fabric.send(upstream.transport, datagram, destination, delay)

    def to_client(
        self,
        upstream: _Upstream,
        datagram: bytes,
        balancer: str,
    ) -> None:
        fabric = self._fabric
        for delay in fabric.copy_delays(upstream.name):
            fabric.counts.from_balancer[balancer] += 1
            if self._transport is not None:
                fabric.send(self._transport, datagram, upstream.client, delay)

    def client_names(self) -> frozenset[str]:
        """Return the clients (host:port) that have an upstream socket."""
        return frozenset(each.name for each in self._clients.values())

    def _open(self, client: SocketAddress) -> _Upstream:
        upstream = _Upstream(self, client)
        self._clients[client] = upstream
        if len(self._clients) > MAX_CLIENTS:
            _oldest, evicted = self._clients.popitem(last=False)
            self._fabric.counts.by_client.pop(evicted.name, None)
            if evicted.transport is not None:
                evicted.transport.close()
        task = asyncio.create_task(self._connect(upstream))
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)
        return upstream

    async def _connect(self, upstream: _Upstream) -> None:
        loop = asyncio.get_running_loop()
        # Balancers see the address of the client, as behind a real fabric.
        await loop.create_datagram_endpoint(
            lambda: upstream,
            local_addr=(upstream.client[0], 0),
        )


class Fabric:
    """Forwards between service addresses and balancers, with faults."""

    def __init__(self, balancers: list[str], seed: int) -> None:
        self.balancers = balancers
        self.faults = Faults()
        self.counts = Counts()
        self._rng = random.Random(seed)
        self._services: list[_Service] = []

    async def listen(self, address: Address) -> None:
        """Open one service address."""
        service = _Service(self, address)
        self._services.append(service)
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: service,
            local_addr=address.pair,
        )

    def choose_balancer(self) -> str | None:
        """Return a random balancer for one datagram, None without any."""
        if not self.balancers:
            return None
        return self._rng.choice(self.balancers)

    def copy_delays(self, client: str) -> tuple[float, ...]:
        """Return the delay in seconds of each copy of a datagram to send.

        The result is empty for a datagram that is dropped.
        """
        faults = self.faults
        if faults == Faults():
            return (0,)
        cut = faults.cut or client in faults.cut_clients
        if cut or self._rng.random() < faults.loss:
            self.counts.dropped += 1
            return ()
        copies = 1 + (self._rng.random() < faults.duplicate)
        is_reordered = self._rng.random() < faults.reorder
        return (is_reordered * REORDER_DELAY_SECONDS,) * copies

    def send(
        self,
        transport: asyncio.DatagramTransport,
        datagram: bytes,
        destination: SocketAddress,
        delay: float,
    ) -> None:
        """Send one copy after ``delay`` seconds, at once if it is 0."""
        if delay:
            loop = asyncio.get_running_loop()
            loop.call_later(delay, transport.sendto, datagram, destination)
        else:
            transport.sendto(datagram, destination)

    async def control(self, exchange: http.Exchange) -> None:
        """Handle a request to the control port."""
        body = await exchange.body()
        match exchange.request.method, exchange.request.path:
            case 'GET', '/control/counts':
                await exchange.reply_json(cattrs.unstructure(self.counts))
            case 'GET', '/control/clients':
                names = [sorted(each.client_names()) for each in self._services]
                await exchange.reply_json(sum(names, []))
            case 'PUT', '/control/faults':
                self.faults = http.structure(body, Faults)
                await exchange.reply(204)
            case 'PUT', '/control/balancers':
                self.balancers = http.structure(body, list[str])
                await exchange.reply(204)
            case _:
                await exchange.reply(404)


async def _main(args: argparse.Namespace) -> None:
    fabric = Fabric(args.balancer, args.seed)
    for address in args.service:
        await fabric.listen(address)
    control = await http.serve(
        fabric.control,
        args.control.host,
        args.control.port,
    )
    standin.announce(port=http.bound_port(control))
    await standin.until_stopped()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--service',
        action='append',
        type=Address.parse,
        required=True,
    )
    parser.add_argument('--balancer', action='append', default=[])
    parser.add_argument('--control', type=Address.parse, required=True)
    parser.add_argument('--seed', type=int, default=1)
    standin.run(_main(parser.parse_args()))


if __name__ == '__main__':
    main()
