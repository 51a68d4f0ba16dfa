"""Tests how warm-up rates travel between daemons.

Builds without them decode the rows of a route table strictly. A row that they
refuse, or drop, leaves the daemons behind them without any configuration, or
without the limit.
"""

import unittest

import msgpack

from dragonflyshift._internal.carried.routes import Route, RouteTable, Warmup
from dragonflyshift._internal.carried.rows import decode_row, encode_row
from dragonflyshift._internal.exceptions import ConfigurationError
from tests.lib.carried import build_route, build_routes

# The second name is a lone surrogate, which JSON can hold and UTF-8 can't.
_NAMES = ('', '\ud800', 'lists', 'é' * 40)


class WarmupRowsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = build_routes(4)
        for name in _NAMES:
            self.table.warmups[name] = Warmup(name, 2.5, 1 / 3)

    def test_rates_are_exact_after_decoding(self) -> None:
        decoded = RouteTable.decode(self.table.encode())
        self.assertEqual(decoded.warmups, self.table.warmups)
        self.assertEqual(decoded.routes, self.table.routes)

    def test_previous_build_keeps_and_propagates_the_rows(self) -> None:
        """It keeps routes by address and encodes the routes that it kept."""
        version, idle_ms, rows = msgpack.unpackb(self.table.encode())
        routes = [decode_row(Route, row) for row in rows]
        kept = {route.address: route for route in routes}
        self.assertEqual(len(kept), 1 + len(_NAMES))
        lengths = [len(address) for address in kept]
        self.assertEqual(lengths.count(len(build_route().address)), 1)
        rows = [encode_row(route) for route in kept.values()]
        propagated = msgpack.packb((version, idle_ms, rows))
        decoded = RouteTable.decode(propagated)
        self.assertEqual(decoded.warmups, self.table.warmups)

    def test_row_of_another_kind_is_kept(self) -> None:
        """A later build may use further addresses that no packet has."""
        for address in (b'warmup:', b'limits:x'):
            route = build_route(address=address)
            raw = build_routes(1, (route,)).encode()
            self.assertEqual(RouteTable.decode(raw).routes, {address: route})

    def test_malformed_name_is_refused(self) -> None:
        address = Warmup('x', 1, 1).to_route().address.replace(b'x', b'\xff')
        raw = build_routes(1, (build_route(address=address),)).encode()
        with self.assertRaises(ConfigurationError):
            RouteTable.decode(raw)
