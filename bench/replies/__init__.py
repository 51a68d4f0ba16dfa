"""Replays of single QUIC flows whose balancers are replaced or fail.

Both ends are real connections without sockets, on a virtual clock, so thousands
of orders of losses, timeouts and pauses are played in minutes.

    python -m bench.replies replaced --flows 240 --pause 0.6
"""
