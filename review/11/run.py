"""CONFIG: two balancers lose power right after a change of the configuration.

Each round drops a route. The two balancers that read the store are killed a
few milliseconds after they have put the new version in force, and stay away.
The third balancer and all sidecars run undisturbed and reach the store. 3.2 s
after the acknowledgement a request to the dropped route goes through it.
"""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lib-3'))
import standins as st  # noqa: E402

ROUNDS = 8
IDLE_ROUTES = 350
# Delays of the kill after the second reader has the version in force.
DELAYS_S = (0.001, 0.002, 0.003, 0.0015, 0.0025, 0.004, 0.0005, 0.0035)
AWAY_S = 3.92


def build_config(fleet, version, dropped):
    main = st.route('main', '198.18.0.1', 443, fleet.service)
    extra = [
        st.route(f'extra-{n}', '198.18.0.2', 1000 + n, fleet.service)
        for n in range(ROUNDS) if n not in dropped
    ]
    idle = [
        st.route(f'idle-{n}', f'198.18.1.{1 + n % 200}', 2000 + n, fleet.service)
        for n in range(IDLE_ROUTES)
    ]
    # Each change also adds a route.
    new = [
        st.route(f'new-{n}', '198.18.0.4', 3000 + n, fleet.service)
        for n in dropped
    ]
    return st.config(version, [main, *extra, *new, *idle])


async def ask(fleet, address, name):
    """Open a flow through the third balancer and send one request."""
    flow = fleet.clients.flow(address, name)
    opened = await flow.open()
    answer = opened
    if opened == 'open':
        answer = await flow.request(name, 1.5)
        flow.close()
    fleet.record.write(name, 'ends:', answer)
    return flow, answer


async def case(record, trouble):
    fleet = st.Fleet(record)
    try:
        return await play(fleet, record, trouble)
    finally:
        await fleet.close()


async def play(fleet, record, trouble):
    await fleet.start(3, 2, build_config(fleet, 5, ()))
    readers = [fleet.daemons['edge-1'], fleet.daemons['edge-2']]
    third = fleet.daemons['edge-3']
    fleet.route = lambda _flow: third.host
    await asyncio.sleep(6)
    dropped = set()
    for number in range(ROUNDS):
        address = ('198.18.0.2', 1000 + number)
        _flow, answer = await ask(fleet, address, f'before-{number}')
        if ' by ' not in answer:
            raise RuntimeError(f'the route does not work before: {answer}')
        if await play_round(fleet, record, trouble, readers, number, dropped):
            return True
        if trouble:
            await asyncio.sleep(max(0, AWAY_S - 3.2))
            for daemon in readers:
                if not daemon.runs:
                    await daemon.start()
            await fleet.wait_ready()
            await asyncio.sleep(4.5)
    return False


async def play_round(fleet, record, trouble, readers, number, dropped):
    version = 7 + 2 * number
    dropped.add(number)
    in_force = set()
    both = asyncio.Event()

    def on_event(daemon, event):
        if event.get('event') == 'configuration-in-force':
            if event['version'] == version:
                in_force.add(daemon.name)
                if len(in_force) == len(readers):
                    both.set()

    for daemon in readers:
        daemon.on_event = on_event
    acked = fleet.store.put(
        'op/config', build_config(fleet, version, dropped)
    )
    record.write('the store acknowledges version', version, 'without',
                 f'198.18.0.2:{1000 + number}')
    async with asyncio.timeout(2):
        await both.wait()
    if trouble:
        until = time.monotonic() + DELAYS_S[number % len(DELAYS_S)]
        while time.monotonic() < until:
            pass
        for daemon in readers:
            daemon.process.send_signal(signal.SIGKILL)
        record.write('edge-1 and edge-2 are killed',
                     round((time.monotonic() - acked) * 1000, 1),
                     'ms after the acknowledgement')
    await asyncio.sleep(max(0, acked + 3.2 - time.monotonic()))
    address = ('198.18.0.2', 1000 + number)
    flow, _answer = await ask(fleet, address, f'after-{number}')
    late = flow.syn_sent_at - acked
    ran = [s.name for s in fleet.servers
           if any(r == f'after-{number}' for _t, r in s.ran)]
    took = [s.name for s in fleet.servers
            if any((p.src, p.dst) == (flow.src, flow.dst)
                   for _t, p in s.received)]
    if not took:
        return False
    record.write('BROKEN: the request was sent', round(late, 3),
                 's after the acknowledgement that dropped its route;',
                 'its opening packet was taken by', took, 'and it ran at', ran)
    _flow, answer = await ask(
        fleet, ('198.18.0.4', 3000 + number), f'new-route-{number}'
    )
    if ' by ' not in answer:
        record.write('BROKEN: a request to the route that the version added',
                     'ended with', answer)
    # The same 10 s and 20 s after the acknowledgement, the two still away.
    for later in (10, 20):
        if record.now() > 85:
            # The script may run for 120 s.
            break
        await asyncio.sleep(max(0, acked + later - time.monotonic()))
        await ask(fleet, address, f'after-{number}-{later}s')
    return True


st.main(case, __file__)
