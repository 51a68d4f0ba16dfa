"""Results of plays, kept as JSON lines so that an experiment can go on."""

__all__ = ('PlayResult', 'ResultFile')

import json
from pathlib import Path
from typing import Any

import cattrs
from attrs import asdict, define, field, frozen

from bench.experiments.plan import Play


@frozen
class PlayResult:
    """The worth of a play, with further figures by name.

    ``broken`` is the number of guarantees that were broken. ``source`` says
    where the play is recorded, such as the id of a journal entry.
    """

    play: Play
    worth: float
    broken: int = 0
    figures: dict[str, float] = field(factory=dict)
    source: str = ''


@define
class ResultFile:
    """A file to which each result is appended as a line."""

    path: Path

    def read(self) -> dict[Play, PlayResult]:
        """Return the results, without lines that an interruption cut off."""
        results = {}
        text = self.path.read_text() if self.path.exists() else ''
        for line in text.splitlines():
            parsed = _parse(line)
            if parsed is not None:
                results[parsed.play] = parsed
        return results

    def append(self, result: PlayResult) -> None:
        """Append a result, on a line of its own after a cut-off one."""
        self.path.parent.mkdir(parents=True, exist_ok=True)
        with self.path.open('a+b') as results:
            if results.tell():
                results.seek(-1, 2)
                if results.read(1) != b'\n':
                    results.write(b'\n')
            results.write(f'{json.dumps(asdict(result))}\n'.encode())


def _parse(line: str) -> PlayResult | None:
    try:
        body: Any = json.loads(line)
        return cattrs.structure(body, PlayResult)
    except (ValueError, cattrs.BaseValidationError):
        return None
