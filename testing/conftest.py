"""Options of the system tests."""

import pytest


def pytest_addoption(parser):
    parser.addoption(
        "--matrix-share",
        type=float,
        default=0.2,
        help="share of the fault matrix to run, from 0 to 1",
    )


@pytest.fixture
def plan():
    from masticpost_bench import layout

    return layout.small()
