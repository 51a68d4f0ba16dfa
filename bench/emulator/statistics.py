"""Results of the requests of a run, in windows of two seconds."""

__all__ = ('Request', 'Statistics', 'Window')

from attrs import define, field

from bench.emulator.scenario import MS_PER_S, LoadKind

WINDOW_S = 2.0


@define(eq=False)
class Request:
    """A request of a client, with all its attempts.

    ``caller`` is the number of its client address among those of the kind.
    """

    kind: LoadKind
    sent_at: float
    caller: int = 0
    attempts: int = 0
    is_done: bool = False

    def age_ms(self, now: float) -> float:
        """Return the time in milliseconds since the first attempt."""
        return (now - self.sent_at) * MS_PER_S


@define
class Window:
    """Results of the requests that were sent in a window."""

    sent: int = 0
    in_time: int = 0
    late: int = 0
    failed: int = 0
    earned_worth: float = 0
    offered_worth: float = 0

    @property
    def worth(self) -> float:
        """Return the share of the offered worth that was earned."""
        return (
            self.earned_worth / self.offered_worth if self.offered_worth else 1
        )


@define
class Statistics:
    """Statistics of a run.

    ``windows`` holds the windows by number, ``accounts`` the results of each
    caller by load kind and number. ``violations`` holds descriptions of the
    guarantees that the run broke. ``cold_flows`` is the number of new
    flows at cold servers, ``cold_peak`` the highest one of a server in any
    second.
    """

    windows: dict[int, Window] = field(factory=dict)
    accounts: dict[tuple[str, int], Window] = field(factory=dict)
    violations: list[str] = field(factory=list)
    cold_flows: int = 0
    cold_peak: int = 0

    def record_request(self, req: Request) -> None:
        """Count a request at its first attempt."""
        for window in self._windows_of(req):
            window.sent += 1
            window.offered_worth += req.kind.worth

    def record_response(self, req: Request, now: float) -> None:
        """Count a response, as late if the target of the request has passed."""
        in_time = req.age_ms(now) <= req.kind.target_ms
        for window in self._windows_of(req):
            if in_time:
                window.in_time += 1
                window.earned_worth += req.kind.worth
            else:
                window.late += 1
                window.earned_worth += req.kind.late_worth

    def record_failure(self, req: Request) -> None:
        """Count a request that used up its budget or its retries."""
        for window in self._windows_of(req):
            window.failed += 1

    def total(self) -> Window:
        """Return the sum of all windows."""
        total = Window()
        for window in self.windows.values():
            total.sent += window.sent
            total.in_time += window.in_time
            total.late += window.late
            total.failed += window.failed
            total.earned_worth += window.earned_worth
            total.offered_worth += window.offered_worth
        return total

    def worst_worth(self, count: int = 2) -> float:
        """Return the mean worth of the ``count`` worst windows."""
        window_worths = sorted(window.worth for window in self.windows.values())
        return sum(window_worths[:count]) / max(1, len(window_worths[:count]))

    def _windows_of(self, req: Request) -> list[Window]:
        """Return the window in time of a request and that of its account."""
        number = int(req.sent_at / WINDOW_S)
        windows = [self.windows.setdefault(number, Window())]
        if req.kind.callers:
            account = (req.kind.name, req.caller)
            windows.append(self.accounts.setdefault(account, Window()))
        return windows
