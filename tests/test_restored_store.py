"""Tests of a store that comes back from a copy some seconds old.

What was written since is gone, and the revisions and leases of that time are
given out again.
"""

from structlog.testing import capture_logs

from tests.installation import Installation, eventually, run

IN_FORCE_S = 2.0
"""Time after its acknowledgement in which a configuration is in force."""


def list_versions(made: Installation) -> list[int]:
    """Return the version of the configuration at each entry process."""
    views = [node.gateway._fleet_view for node in made.nodes.values()]
    return [0 if view.catalog is None else view.catalog.version for view in views]


async def make_changes(made: Installation, count: int = 6) -> None:
    """Write some versions, and wait until the last one is in force."""
    for _ in range(count):
        made.configure()
    await eventually(lambda: set(list_versions(made)) == {made.version})


def test_log_lines_show_a_restored_store() -> None:
    """Guards against a restore of the store that no log line shows."""

    async def test() -> None:
        async with Installation.running(nodes=1) as made:
            await made.settle()
            kept = made.store.make_copy()
            with capture_logs() as lines:
                await made.restore_store(kept)
                await eventually(
                    lambda: any(line["event"] == "store-restored" for line in lines)
                )

    run(test)
