"""What a member tells others, and what it learns from them."""

import random
from collections.abc import Callable

from attrs import define

from dragonflyshift._internal.exceptions import MembershipError
from dragonflyshift._internal.membership.greeting import NO_VIEW, Greeting
from dragonflyshift._internal.membership.messages import MAX_WORDS
from dragonflyshift._internal.membership.own import OwnMember
from dragonflyshift._internal.membership.table import MemberTable
from dragonflyshift._internal.models import Address, MemberRecord


def view_hash(table: MemberTable) -> bytes:
    """Return the hash to tell others, or ``NO_VIEW`` while it is in doubt.

    Whoever hears of a hash unlike its own answers with its digest, and that
    digest ends the doubt.
    """
    return NO_VIEW if table.doubtful else table.hash


@define(eq=False)
class Exchange:
    """Greetings and digests of one service.

    ``version`` returns the version in force of the service's document, and
    ``on_version`` is called with a member that holds a higher one.
    """

    table: MemberTable
    tag: int
    rng: random.Random
    version: Callable[[], int]
    on_version: Callable[[Address, int], None]

    @property
    def own(self) -> OwnMember:
        """The process itself; a process that only listens can't probe."""
        if self.table.own is None:
            raise MembershipError('a process without a record can not probe')
        return self.table.own

    def greeting(self, sequence: int) -> Greeting:
        """Return the greeting of the next message."""
        return Greeting(
            self.tag,
            sequence,
            self.own.record,
            view_hash(self.table),
            self.version(),
        )

    def learn(
        self,
        greeting: Greeting,
        words: tuple[MemberRecord, ...],
        now: float,
    ) -> None:
        """Take in a message; raise MembershipError from another service."""
        sender = greeting.sender
        if greeting.tag != self.tag:
            raise MembershipError(
                f'a message of service {greeting.tag:#x} came to another',
                context=str(sender.address),
            )
        self.table.merge((sender, *words), now)
        if greeting.version > self.version():
            self.on_version(sender.address, greeting.version)

    def words_for(self, greeting: Greeting) -> tuple[MemberRecord, ...]:
        """Return the records that a member seems to lack.

        Nothing while the views agree, and nothing that is in doubt. A large
        view is sent in part: the latest changes, and others at random.
        """
        if self.table.doubtful or greeting.view == self.table.hash:
            return ()
        stored = self.table.stored()
        if len(stored) <= MAX_WORDS:
            return stored
        about = tuple(
            record
            for record in stored
            if record.address == greeting.sender.address
        )
        latest = stored[: MAX_WORDS // 2]
        older = stored[MAX_WORDS // 2 :]
        drawn = self.rng.sample(older, MAX_WORDS // 2 - 1)
        return tuple({*about, *latest, *drawn})
