"""Settings as the simulator sends them, without and with an unknown key."""

from __future__ import annotations

from typing import Any

KNOWN_SETTINGS: dict[str, Any] = {
    "classes": [{"aimMs": 300, "hardLimitMs": 1200, "repeat": "pure"}],
    "peersTotal": 2,
    "limits": {"maxAttempts": 3},
    "rules": {
        "drainGraceMs": 500,
        "answerSlackMs": 8,
        "coldFrom": 0.2,
        "warmAfterMs": 9000,
        "overloadFactor": 3,
        "fallMs": 2000,
    },
}
TABLE: dict[str, Any] = KNOWN_SETTINGS | {"somethingNew": {"is": "ignored"}}
