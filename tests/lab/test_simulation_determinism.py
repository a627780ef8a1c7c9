"""The results of simulations depend only on their seed, not on the hash seed of the process."""

from __future__ import annotations

import os
import subprocess
import sys

HASH_SEEDS = ("0", "1", "2")
TIMEOUT_S = 120.0


def digests_with(hash_seed: str) -> str:
    """Return the digests_with of all simulations, run in a process with this hash seed."""
    command = [sys.executable, "-m", "tests.lab.simulation_digests"]
    environment = {**os.environ, "PYTHONHASHSEED": hash_seed}
    process = subprocess.run(
        command, env=environment, stdout=subprocess.PIPE, text=True, check=True, timeout=TIMEOUT_S
    )
    return process.stdout


def test_results_are_the_same_with_every_hash_seed() -> None:
    first, *others = map(digests_with, HASH_SEEDS)
    assert len(first.splitlines()) == 3
    for other in others:
        assert other == first
