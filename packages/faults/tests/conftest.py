"""Skips these tests on a machine without a C compiler."""

from __future__ import annotations

import pytest

from puffindeck_faults.fault_injector import NoCompilerError, build_library


@pytest.fixture(autouse=True, scope="session")
def fault_library() -> None:
    """Build the library that is loaded into the processes, or skip the tests if there is no compiler."""
    try:
        build_library()
    except NoCompilerError as error:
        pytest.skip(str(error))
