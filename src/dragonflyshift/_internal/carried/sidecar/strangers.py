"""Packets of flows that this sidecar doesn't know.

After a restart the server may hold flows of the time before. A packet of an
unknown flow is then delivered as a question: the server answers it, and the
flow is adopted, or bounces it.
"""

__all__ = ('Question', 'Questions')

from attrs import define, field

from dragonflyshift._internal.carried.packet import FlowKey, SocketAddress

# Marks a packet that is delivered to learn whether the server holds its flow.
QUESTION_MARK = 1
MAX_QUESTIONS = 4096
# A server that holds the flow acknowledges within this time.
QUESTION_LIFETIME_S = 1.0


@define(eq=False, repr=False)
class Question:
    """A flow that the server was asked about, and for whom."""

    balancer: SocketAddress
    asked_at: float


@define(eq=False, repr=False)
class Questions:
    """The questions to the server that have no answer yet."""

    _open: dict[FlowKey, Question] = field(factory=dict)

    def ask(self, now: float, key: FlowKey, balancer: SocketAddress) -> None:
        """Take note that a packet goes to the server as a question."""
        if len(self._open) < MAX_QUESTIONS:
            self._open[key] = Question(balancer, now)

    def answered(self, key: FlowKey) -> Question | None:
        """Remove and return the question about a flow, if there is one."""
        return self._open.pop(key, None)

    def sweep(self, now: float) -> None:
        """Drop questions that got no answer."""
        for key, question in tuple(self._open.items()):
            if now - question.asked_at > QUESTION_LIFETIME_S:
                self._open.pop(key)
