"""The ports that tests in several processes choose at the same time."""

import multiprocessing

from zinniaspool_standins.installation import free_address

CHOSEN = 300


def choose_addresses(count: int) -> list[str]:
    return [free_address() for _ in range(count)]


def test_processes_choose_no_port_of_each_other() -> None:
    """Guards against tests that find processes of other tests at old ports."""
    context = multiprocessing.get_context("spawn")
    with context.Pool(3) as pool:
        chosen = pool.map(choose_addresses, [CHOSEN] * 3, chunksize=1)
        # The ports of a process that has ended are free again.
        chosen.append(choose_addresses(CHOSEN))
    addresses = {address for addresses in chosen for address in addresses}
    # A worker that chose twice has no address twice either.
    assert len(addresses) == CHOSEN * len(chosen)
