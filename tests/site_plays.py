"""Several plays of tests/site_load.py at once, and their figures together.

Run as ``python -m tests.site_plays --plays 7 --seed 9 samples/load-stops.toml
--seconds 40``. Each play has a process of its own, whose installation is its
own too; together they are short of processor time. Other options are those of
``tests.site_load`` and go to each play.
"""

import asyncio
import sys
import tempfile
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from tests.site_figures import PlayFigures
from zinniaspool_standins.fleet import end_with_parent

__all__ = ["EndedPlay", "run_plays"]

SEED_STEP = 9

commands = typer.Typer(add_completion=False)


@dataclass(frozen=True, slots=True)
class EndedPlay:
    """How a play ended.

    Attributes:
        seed: Its seed.
        status: The exit status of its process.
        figures: What it counted; None if it ended before that.
    """

    seed: int
    status: int
    figures: PlayFigures | None

    def is_sound(self) -> bool:
        """Return whether it ended as it should and no promise was broken."""
        return not self.status and self.figures is not None and self.figures.is_sound()


async def run_plays(seeds: Sequence[int], options: Sequence[str]) -> list[EndedPlay]:
    """Run a play of each seed at the same time, and print what each prints.

    Args:
        seeds: The seeds.
        options: Further arguments of each play.
    """
    with tempfile.TemporaryDirectory(prefix="site-plays-") as folder:
        return await asyncio.gather(
            *(
                _run_play(seed, Path(folder) / f"{number}.json", options)
                for number, seed in enumerate(seeds)
            )
        )


async def _run_play(seed: int, path: Path, options: Sequence[str]) -> EndedPlay:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        *("-m", "tests.site_load", *options),
        *("--seed", str(seed), "--figures", str(path)),
        stdin=asyncio.subprocess.DEVNULL,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
        preexec_fn=end_with_parent,
    )
    output, _ = await process.communicate()
    print(output.decode(errors="replace"), flush=True)
    assert process.returncode is not None
    # A play that fails before its end writes no figures.
    has_figures = path.exists()  # noqa: ASYNC240
    figures = _read_figures(path, seed) if has_figures else None
    return EndedPlay(seed, process.returncode, figures)


def _read_figures(path: Path, seed: int) -> PlayFigures:
    """Read a play's figures; the names of requests are those of its seed."""
    figures = msgspec.json.decode(path.read_bytes(), type=PlayFigures)
    figures.lost = [f"seed {seed}, {line}" for line in figures.lost]
    return figures


def _describe(plays: Sequence[EndedPlay]) -> str:
    """Return what the plays counted together, and which counted nothing."""
    counted = [play.figures for play in plays if play.figures is not None]
    failed = [
        f"seed {play.seed} (status {play.status})"
        for play in plays
        if play.figures is None
    ]
    lost = [
        f"{play.seed}: {play.figures.broken['lost']}"
        for play in plays
        if play.figures is not None
    ]
    lines = [
        f"{len(counted)} of {len(plays)} plays together: "
        f"{PlayFigures.sum(counted).describe()}",
        f"lost by seed: {', '.join(lost) or 'none'}",
    ]
    if failed:
        lines.append(f"without figures: {', '.join(failed)}")
    return "\n  ".join(lines)


@commands.command(context_settings={"ignore_unknown_options": True})
def main(
    options: Annotated[
        list[str],
        typer.Argument(help="The profile and options of tests.site_load."),
    ],
    plays: Annotated[
        int, typer.Option(help="How many plays, if one seed is given.")
    ] = 7,
    seed: Annotated[
        list[int],
        typer.Option(
            help="The seed of the first play, each further one having a seed "
            f"that is higher by {SEED_STEP}; or, given several times, all seeds."
        ),
    ] = [1],  # noqa: B006
) -> None:
    """Play a profile several times at once, and print the sums.

    Raises:
        typer.Exit: Status 1 if a promise was broken or a play failed.
    """
    seeds = seed
    if len(seed) == 1:
        seeds = [seed[0] + SEED_STEP * number for number in range(plays)]
    ended = asyncio.run(run_plays(seeds, options))
    print(_describe(ended))
    raise typer.Exit(0 if all(play.is_sound() for play in ended) else 1)


if __name__ == "__main__":
    commands()
