"""Max-min fair shares of client accounts in what a server admits.

The load is that of a service with less capacity than demand, where one client
opens many times more flows than the others. The counts of admitted and offered
flows by account decay exponentially, so that a client that has become quiet
gets its full share again within seconds. Memory is bounded: when the sketch is
full, a new account takes over the entry of the least used one with its counts
(Space-Saving). This overestimates the new account by at most the mean use,
and an account with more than 1/256 of all offers always has an entry.
"""

__all__ = ('MAX_ACCOUNTS', 'TIME_CONSTANT_S', 'AccountShares')

import math
from collections.abc import Iterable
from itertools import islice
from operator import attrgetter

from attrs import define

MAX_ACCOUNTS = 256
# Time in which a count decays to 1/e. A server that runs ten flows per second
# counts about 50 of them, enough to tell shares of a tenth apart.
TIME_CONSTANT_S = 5.0
# The level is computed from the entries at most this often unless an account
# is added, since it sorts them. The counts change by 1% in this time.
LEVEL_INTERVAL_S = 0.05
# The level of the only account above its share equals its use but for rounding
# errors, which must not count as a difference.
ROUNDING = 1e-6
# Counts are rescaled after this time, long before floats overflow.
RESCALE_INTERVAL_S = 60.0
# Entries with fewer offered flows than this are removed when counts are
# rescaled.
MIN_OFFERED = 0.01

_offered = attrgetter('offered')


@define(eq=False, repr=False)
class _AccountUse:
    """Decaying counts of an account, divided by its weight."""

    weight: float
    offered: float = 0
    admitted: float = 0


class AccountShares:
    """Decaying sketch of the use by account, and the shares that follow.

    The share of an account is ``weight`` times a common level. The level is
    chosen so that the accounts together get what was admitted recently and
    none gets more than it offered. Counts are stored multiplied by a factor
    that grows with time, so that decay needs no update of all entries.

    Example:
        >>> shares = AccountShares()
        >>> shares.record_offer(0, b'a', weight=1)
        >>> shares.record_admission(0, b'a')
        >>> shares.is_below_share(0, b'a')
        True
    """

    def __init__(self) -> None:
        """Create an empty sketch."""
        self._entries: dict[bytes, _AccountUse] = {}
        self._scaled_since = -math.inf
        self._level = math.inf
        self._level_at = -math.inf

    def __len__(self) -> int:
        """Return the number of accounts in the sketch."""
        return len(self._entries)

    def record_offer(self, now: float, account: bytes, weight: float) -> None:
        """Count a flow that was offered, whether it is admitted or not."""
        growth = self._growth(now)
        use = self._entries.get(account)
        if use is None:
            use = self._add(account, weight)
        use.offered += growth / use.weight

    def record_admission(self, now: float, account: bytes) -> None:
        """Count a flow that was admitted; it was offered before."""
        use = self._entries.get(account)
        if use is not None:
            use.admitted += self._growth(now) / use.weight

    def cancel_admission(self, admitted_at: float, account: bytes) -> None:
        """Uncount a flow that was admitted but not delivered."""
        use = self._entries.get(account)
        if use is not None:
            amount = self._growth(admitted_at) / use.weight
            use.admitted = max(0, use.admitted - amount)

    def is_below_share(self, now: float, account: bytes) -> bool:
        """Return whether an account has been admitted less than its share.

        One recent flow is never more than the share, as it can't be divided.
        """
        return not self.used_up(now, (account,))

    def used_up(self, now: float, accounts: Iterable[bytes]) -> set[bytes]:
        """Return those of the accounts that are not below their shares."""
        growth = self._growth(now)
        level = self._current_level(now)
        if level == math.inf:
            return set()
        reached = set()
        for account in accounts:
            use = self._entries.get(account)
            if use is not None and use.admitted >= level:
                if use.admitted * use.weight > growth:
                    reached.add(account)
        return reached

    def relative_use(self, account: bytes) -> float:
        """Return the use divided by the weight, comparable among accounts."""
        use = self._entries.get(account)
        return 0 if use is None else use.admitted

    def level_per_s(self, now: float) -> float:
        """Return the share of an account of weight 1 in flows per second.

        It is infinite if all accounts got what they offered.
        """
        growth = self._growth(now)
        return self._current_level(now) / growth / TIME_CONSTANT_S

    def count_at_share(self, now: float) -> int:
        """Return the number of accounts that have used up their shares."""
        self._growth(now)
        level = self._current_level(now)
        return sum(use.admitted >= level for use in self._entries.values())

    def _growth(self, now: float) -> float:
        """Return the factor of a count of now, and rescale when it is due."""
        elapsed_s = now - self._scaled_since
        if elapsed_s > RESCALE_INTERVAL_S:
            self._rescale(math.exp(-elapsed_s / TIME_CONSTANT_S))
            self._scaled_since = now
            return 1
        return math.exp(elapsed_s / TIME_CONSTANT_S)

    def _add(self, account: bytes, weight: float) -> _AccountUse:
        use = _AccountUse(weight)
        if len(self._entries) >= MAX_ACCOUNTS:
            counts = list(map(_offered, self._entries.values()))
            position = counts.index(min(counts))
            least = next(islice(self._entries, position, None))
            merged = self._entries.pop(least)
            use.offered = merged.offered
            use.admitted = merged.admitted
        self._entries[account] = use
        # A queue full of one account is within its share until another
        # account has offered a flow.
        self._level_at = -math.inf
        return use

    def _rescale(self, factor: float) -> None:
        for account, use in tuple(self._entries.items()):
            use.offered *= factor
            use.admitted *= factor
            if use.offered < MIN_OFFERED:
                self._entries.pop(account)
        # The level depends on the entries that were removed.
        self._level_at = -math.inf

    def _current_level(self, now: float) -> float:
        if now - self._level_at >= LEVEL_INTERVAL_S:
            self._level_at = now
            self._level = self._compute_level()
        return self._level

    def _compute_level(self) -> float:
        """Return the level that divides what was admitted (water-filling)."""
        uses = sorted(self._entries.values(), key=_offered)
        capacity: float = 0
        weight: float = 0
        offered: float = 0
        for use in uses:
            capacity += use.admitted * use.weight
            weight += use.weight
            offered += use.offered * use.weight
        if offered <= capacity * (1 + ROUNDING):
            return math.inf
        for use in uses:
            if use.offered * weight > capacity:
                return capacity / weight * (1 - ROUNDING)
            capacity -= use.offered * use.weight
            weight -= use.weight
        return math.inf
