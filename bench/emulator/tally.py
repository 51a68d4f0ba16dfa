"""What became of the requests, in windows of two seconds."""

__all__ = ('Request', 'Tally', 'Window')

from attrs import define, field

from bench.emulator.scenario import MS_PER_S, LoadKind

WINDOW_S = 2.0


@define(eq=False)
class Request:
    """One request of a client, with all its attempts."""

    kind: LoadKind
    sent_at: float
    attempts: int = 0
    is_done: bool = False

    def age_ms(self, now: float) -> float:
        """Return the time since the first attempt."""
        return (now - self.sent_at) * MS_PER_S


@define
class Window:
    """The requests that were sent in one window."""

    sent: int = 0
    in_time: int = 0
    late: int = 0
    failed: int = 0
    earned: float = 0
    owed: float = 0

    @property
    def worth(self) -> float:
        """Return what was earned of what was owed."""
        return self.earned / self.owed if self.owed else 1


@define
class Tally:
    """Windows by number, and promises that were broken."""

    windows: dict[int, Window] = field(factory=dict)
    broken: list[str] = field(factory=list)

    def sent(self, req: Request) -> None:
        """Count a request that a client begins."""
        window = self._window(req)
        window.sent += 1
        window.owed += req.kind.worth

    def answered(self, req: Request, now: float) -> None:
        """Count an answer."""
        window = self._window(req)
        if req.age_ms(now) <= req.kind.target_ms:
            window.in_time += 1
            window.earned += req.kind.worth
        else:
            window.late += 1
            window.earned += req.kind.late_worth

    def failed(self, req: Request) -> None:
        """Count a request that its client gave up."""
        self._window(req).failed += 1

    def total(self) -> Window:
        """Return the sum of all windows."""
        total = Window()
        for window in self.windows.values():
            total.sent += window.sent
            total.in_time += window.in_time
            total.late += window.late
            total.failed += window.failed
            total.earned += window.earned
            total.owed += window.owed
        return total

    def worst(self, count: int = 2) -> float:
        """Return the mean worth of the worst windows."""
        worths = sorted(window.worth for window in self.windows.values())
        return sum(worths[:count]) / max(1, len(worths[:count]))

    def _window(self, req: Request) -> Window:
        number = int(req.sent_at / WINDOW_S)
        return self.windows.setdefault(number, Window())
