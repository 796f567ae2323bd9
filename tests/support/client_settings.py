"""Settings of one of many small clients, for tests and benchmarks of the client balancer."""

from __future__ import annotations

from puffindeck.interface import ClassSettings, Settings

SETTINGS = Settings(
    classes=(ClassSettings(300, 1200),),
    gateways=600,
    zone=0,
    max_attempts=3,
    drain_grace_ms=500,
    answer_slack_ms=20,
    slow_start_initial_fraction=0.31,
    slow_start_ms=9000,
    slow_start_load_multiple=3,
    slow_start_window_ms=1000,
    max_retry_after_ms=1500,
)
