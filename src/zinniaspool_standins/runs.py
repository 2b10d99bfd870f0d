"""What ran: an upstream's own log, which outlives its process."""

from enum import Enum
from pathlib import Path

import msgspec

__all__ = ["RunLog", "RunRecord", "RunState", "read_runs"]


_KEPT_CHARACTERS = 2048


class RunState(Enum):
    """How far a run came."""

    STARTED = "started"
    FINISHED = "finished"
    CANCELLED = "cancelled"
    FAILED = "failed"


class RunRecord(msgspec.Struct):
    """One run of one attempt of a request.

    Attributes:
        request: The entry process's name of the request.
        attempt: Its number of the attempt.
        sent: The beginning of the body that ran.
        path: Where it was sent.
        first_token: Tokens that the caller already had.
        state: How far it came.
        upstream: Who ran it.
        number: Of the run at this upstream.
    """

    request: str
    attempt: str
    sent: str
    path: str = ""
    first_token: int = 0
    state: RunState = RunState.STARTED
    upstream: str = ""
    number: int = 0


class RunLog:
    """Keeps the runs, in memory and in a file where one is given.

    Args:
        upstream: Who runs.
        path: File that gets one JSON line at each run's start and end, so
            that a killed process leaves what it ran; "" for none.
    """

    def __init__(self, upstream: str, path: str = "") -> None:
        self.runs: list[RunRecord] = []
        self._upstream = upstream
        self._path = Path(path) if path else None

    def begin(self, run: RunRecord) -> RunRecord:
        """Record that a run starts."""
        run.upstream = self._upstream
        run.sent = run.sent[:_KEPT_CHARACTERS]
        run.number = len(self.runs)
        self.runs.append(run)
        self._write(run)
        return run

    def end(self, run: RunRecord, state: RunState) -> None:
        """Record how a run ended."""
        run.state = state
        self._write(run)

    def _write(self, run: RunRecord) -> None:
        if self._path is None:
            return
        with self._path.open("a") as file:
            file.write(msgspec.json.encode(run).decode() + "\n")


def read_runs(path: Path) -> list[RunRecord]:
    """Return the runs in a file, each with its last state.

    A line that is still being written is left for the next look.
    """
    if not path.exists():
        return []
    runs: list[RunRecord] = []
    # The file may hold several lives of one upstream, and numbers start anew
    # with each: a first line always says "started".
    current: dict[int, int] = {}
    *lines, _ = path.read_text().split("\n")
    for line in lines:
        run = msgspec.json.decode(line, type=RunRecord)
        if run.state is RunState.STARTED:
            current[run.number] = len(runs)
            runs.append(run)
        else:
            runs[current[run.number]] = run
    return runs
