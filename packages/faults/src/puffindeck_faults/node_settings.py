"""The settings of a node under test, with the keys of the protocol page."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from puffindeck_faults.clients import RequestClass


def node_settings(classes: Sequence[RequestClass], gateways: int, **changes: Any) -> dict[str, Any]:
    """Return the settings of a node in a fleet of `gateways` nodes.

    `changes` replaces values; a dict replaces only its own keys of a table.
    """
    table: dict[str, Any] = {
        "peersTotal": gateways,
        "locality": 0,
        "zones": ["a"],
        "kinds": ["m"],
        "membershipMode": "subscribe",
        "weights": "nominal",
        "workload": "conn",
        "classes": [_class_table(request_class) for request_class in classes],
        "familyInfo": {"groups": True, "messageAimMs": [100.0] * len(classes), "mode": "proxy"},
        "limits": {
            "maxAttempts": 3,
            "connectTimeoutMs": 250,
            "retryAfter": True,
            "maxRetryAfterMs": 1500,
            "cancelling": True,
            "parallelTries": False,
        },
        "rules": {
            "drainGraceMs": 500,
            "answerSlackMs": 20,
            "askWithinMs": 10000,
            "coldFrom": 0.31,
            "warmAfterMs": 9000,
            "overloadFactor": 3,
            "fallMs": 1000,
        },
    }
    for key, value in changes.items():
        table[key] = {**table[key], **value} if isinstance(value, dict) else value
    return table


def _class_table(request_class: RequestClass) -> dict[str, Any]:
    return {
        "name": request_class.name,
        "aimMs": request_class.latency_objective_ms,
        "hardLimitMs": request_class.deadline_ms,
        "repeat": request_class.effect,
        "group": "all",
        "keyTtlMs": 10000.0,
    }
