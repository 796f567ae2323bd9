"""Where the machine has no C compiler, nothing here can be played: that is said, and skipped."""

from __future__ import annotations

import pytest

from puffindeck_faults.machine import NoCompilerError, library


@pytest.fixture(autouse=True, scope="session")
def compiled() -> None:
    """The library that is loaded into the processes."""
    try:
        library()
    except NoCompilerError as error:
        pytest.skip(str(error))
