"""Skip these tests, with the reason, on a machine that has no C compiler."""

from __future__ import annotations

import pytest

from puffindeck_faults.fault_injector import NoCompilerError, build_library


@pytest.fixture(autouse=True, scope="session")
def compiled() -> None:
    """Build the library that is loaded into the processes."""
    try:
        build_library()
    except NoCompilerError as error:
        pytest.skip(str(error))
