"""The exchange of member records between the members of a service."""

import random
from collections.abc import Callable

from attrs import define

from dragonflyshift._internal.exceptions import MembershipError
from dragonflyshift._internal.membership.header import (
    NO_VIEW_HASH,
    MessageHeader,
)
from dragonflyshift._internal.membership.messages import MAX_RECORDS
from dragonflyshift._internal.membership.own import OwnMember
from dragonflyshift._internal.membership.table import MemberTable
from dragonflyshift._internal.models import Address, MemberRecord


def reported_view_hash(table: MemberTable) -> bytes:
    """Return the hash to send, or ``NO_VIEW_HASH`` if records are outdated.

    A peer that receives a hash other than its own responds with its digest,
    which confirms or replaces the outdated records.
    """
    return NO_VIEW_HASH if table.has_outdated_records else table.hash


@define(eq=False)
class ViewExchange:
    """Message headers and digests of one service.

    ``version`` returns the version of the service document that is in use.
    ``on_version`` is called with the address and version of a member that
    reports a higher one.
    """

    table: MemberTable
    tag: int
    rng: random.Random
    version: Callable[[], int]
    on_version: Callable[[Address, int], None]

    @property
    def own(self) -> OwnMember:
        """The own member; a balancer has none and can't probe."""
        if self.table.own is None:
            raise MembershipError(
                'a process without an own member record can not probe'
            )
        return self.table.own

    def build_header(self, sequence: int) -> MessageHeader:
        """Return the header of a message with this sequence number."""
        return MessageHeader(
            self.tag,
            sequence,
            self.own.record,
            reported_view_hash(self.table),
            self.version(),
        )

    def receive(
        self,
        header: MessageHeader,
        records: tuple[MemberRecord, ...],
        now: float,
    ) -> None:
        """Merge the records of a message.

        Raises MembershipError if the message is from another service.
        """
        sender = header.sender
        if header.tag != self.tag:
            raise MembershipError(
                f'message of service {header.tag:#x} received by another one',
                context=str(sender.address),
            )
        self.table.merge((sender, *records), now)
        if header.version > self.version():
            self.on_version(sender.address, header.version)

    def missing_records(
        self, header: MessageHeader
    ) -> tuple[MemberRecord, ...]:
        """Return the records to send to a member whose view differs.

        Returns nothing if the views agree or if own records are outdated. Of
        a large view only a part is returned: the record of the sender, the
        latest changes, and a random sample of the others.
        """
        if (
            self.table.has_outdated_records
            or header.view_hash == self.table.hash
        ):
            return ()
        member_records = self.table.digest_records()
        if len(member_records) <= MAX_RECORDS:
            return member_records
        sender_record = tuple(
            record
            for record in member_records
            if record.address == header.sender.address
        )
        latest = member_records[: MAX_RECORDS // 2]
        older = member_records[MAX_RECORDS // 2 :]
        sampled = self.rng.sample(older, MAX_RECORDS // 2 - 1)
        return tuple({*sender_record, *latest, *sampled})
