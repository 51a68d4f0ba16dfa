"""Measure the processor time of an admission decision by policy.

    python -m bench.micro.admission

A server with one slot gets three times the flows that it can serve, from 8,
256 or 2,000 client addresses, one of which opens half of them. For each policy
it prints the mean microseconds and the 99th percentile of the decision on a
new flow, and the mean of the choice of the next one to start.
"""

import random
import sys
import time
from collections.abc import Callable

from dragonflyshift._internal.carried.policies.admission import (
    AdmissionPolicy,
    InTimeOnly,
)
from dragonflyshift._internal.carried.policies.fair_share import FairShare
from dragonflyshift._internal.carried.policies.target_first import TargetFirst
from tests.lib.admission_replay import build_account_key
from tests.lib.carried import build_new_flow

ACCOUNTS = (8, 256, 2000)
FLOWS = 20_000
# Many short requests with a long target give the longest queues: about 80.
SERVICE_MS = 10.0
TARGET_MS = 900
OVERLOAD = 3
US_PER_S = 1_000_000
_POLICIES: tuple[Callable[[], AdmissionPolicy], ...] = (
    InTimeOnly,
    TargetFirst,
    FairShare,
)


def main() -> None:
    """Print one line for each policy and number of accounts."""
    for accounts in ACCOUNTS:
        for create in _POLICIES:
            sys.stdout.write(
                f'{accounts:5} accounts  {_measure(create(), accounts)}\n'
            )


def _measure(policy: AdmissionPolicy, accounts: int) -> str:
    rng = random.Random(1)
    decisions = []
    starts = []
    longest = 0
    for number in range(FLOWS):
        now = number * SERVICE_MS / OVERLOAD / 1000
        account = rng.randrange(accounts) if rng.randrange(2) else 0
        flow = build_new_flow(
            key=build_account_key(account, number),
            now=now,
            target_ms=TARGET_MS,
        )
        started = time.process_time()
        policy.decide(now, flow, 2, 1, SERVICE_MS)
        decisions.append((time.process_time() - started) * US_PER_S)
        policy.take_displaced()
        longest = max(longest, policy.waiting)
        if number % OVERLOAD == 0:
            started = time.process_time()
            policy.next_ready(now, 1, 1, SERVICE_MS)
            starts.append((time.process_time() - started) * US_PER_S)
            policy.expire(now, SERVICE_MS)
    decisions.sort()
    return (
        f'{type(policy).plugin_name:13} decision {_mean(decisions):6.1f} us, '
        f'99% {decisions[int(len(decisions) * 0.99)]:6.1f} us; '
        f'next {_mean(starts):6.1f} us; at most {longest} waiting'
    )


def _mean(durations: list[float]) -> float:
    return sum(durations) / len(durations)


if __name__ == '__main__':
    main()
