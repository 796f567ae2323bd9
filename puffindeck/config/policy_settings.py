"""The settings of the decision module, as they are written in JSON and TOML files."""

from __future__ import annotations

from typing import Any

import msgspec

from puffindeck.config.checks import name_list, number, number_list, optional_table, require, span_ms
from puffindeck.config.errors import ConfigError, InvalidValueError
from puffindeck.interface import ClassSettings, Effect, Scope, Settings

EFFECTS = {"pure": Effect.IDEMPOTENT, "token": Effect.IDEMPOTENCY_KEY, "side_effect": Effect.NOT_IDEMPOTENT}
SCOPES = {"all": Scope.ALL, "zone": Scope.ZONE, "cell": Scope.CELL}


def _parse_class(table: Any, index: int, message_objectives_ms: list[float]) -> ClassSettings:
    at = f"settings: classes[{index}]"
    effect = str(require(table, "repeat", at))
    scope = str(table.get("group", "all"))
    if effect not in EFFECTS or scope not in SCOPES:
        raise ConfigError(f"{at}.repeat or .group has an unknown value")
    return ClassSettings(
        latency_objective_ms=span_ms(table, "aimMs", where=at),
        deadline_ms=span_ms(table, "hardLimitMs", where=at, exclusive=True),
        priority_weight=number(table, "worth", default=1.0, where=at),
        effect=EFFECTS[effect],
        scope=SCOPES[scope],
        window_ms=span_ms(table, "keyTtlMs", default=0.0, where=at),
        message_latency_objective_ms=(
            message_objectives_ms[index] if index < len(message_objectives_ms) else 0.0
        ),
        name=str(table.get("name", "")),
    )


def _parse_classes(table: Any, family: dict[str, Any]) -> tuple[ClassSettings, ...]:
    classes = require(table, "classes")
    if not isinstance(classes, list) or not classes:
        raise InvalidValueError("settings: classes", "must be a list of at least one class")
    message_objectives_ms = number_list(family, "messageAimMs")
    return tuple(_parse_class(item, index, message_objectives_ms) for index, item in enumerate(classes))


def _parse_bound(table: Any) -> float:
    bound = number(table, "bound", default=0.0)
    if bound and bound <= 1:
        raise InvalidValueError("settings: bound", "must be over 1, or 0 for the default")
    return bound


def _parse_evenness(table: Any) -> float:
    evenness = number(table, "evenness", default=0.0)
    if evenness and evenness < 1:
        raise InvalidValueError("settings: evenness", "must be 1 or more, or 0 for no limit")
    return evenness


def _parse_max_retry_after_ms(table: Any, limits: dict[str, Any]) -> float:
    if not limits.get("retryAfter"):
        return 0.0
    return span_ms(table, "limits.maxRetryAfterMs", default=0.0)


def parse_settings(table: Any) -> Settings:
    """Check the settings of the simulator's first message or of a node's file.

    Raises ConfigError, which names the invalid key.
    """
    family = optional_table(table, "familyInfo")
    prices = optional_table(table, "prices")
    require(table, "limits")
    limits = optional_table(table, "limits")
    return Settings(
        classes=_parse_classes(table, family),
        gateways=int(number(table, "peersTotal", 1)),
        zone=int(number(table, "locality", default=0.0)),
        max_attempts=int(number(table, "limits.maxAttempts", 1)),
        drain_grace_ms=span_ms(table, "rules.drainGraceMs"),
        answer_slack_ms=span_ms(table, "rules.answerSlackMs"),
        slow_start_initial_fraction=number(table, "rules.coldFrom"),
        slow_start_ms=span_ms(table, "rules.warmAfterMs"),
        slow_start_load_multiple=number(table, "rules.overloadFactor"),
        slow_start_window_ms=span_ms(table, "rules.fallMs"),
        period_ms=span_ms(table, "periodMs", default=1.0),
        connect_timeout_ms=span_ms(table, "limits.connectTimeoutMs", default=250.0),
        must_watch_endpoints=table.get("membershipMode") == "subscribe",
        watch_deadline_ms=span_ms(table, "rules.askWithinMs", default=10000.0),
        can_cancel=bool(limits.get("cancelling", False)),
        uses_weights=table.get("weights", "silent") in ("nominal", "rough"),
        cross_zone_cost=number({"prices": prices}, "prices.crossZone", default=0.0),
        over_quota_weight=number(table, "overShareWorth", default=1.0),
        tenant_connection_quotas=tuple(number_list(family, "tenantQuotaConnections")),
        reports_load=bool(family.get("tellsLoad", False)),
        reports_latency=bool(family.get("tellsDelay", False)),
        bound=_parse_bound(table),
        evenness=_parse_evenness(table),
        max_retry_after_ms=_parse_max_retry_after_ms(table, limits),
        zones=name_list(table, "zones"),
        kinds=name_list(table, "kinds"),
    )


def decode_settings(text: bytes) -> Settings:
    """Decode the settings in the first message of a simulated instance, which is JSON.

    Raises ConfigError, which names the invalid key.
    """
    try:
        table = msgspec.json.decode(text)
    except ValueError as error:
        raise ConfigError(f"settings: not JSON: {error}") from None
    return parse_settings(table)


def check_class_names(settings: Settings) -> None:
    """Check that no two classes have the same name. Raises ConfigError."""
    names = {request_class.name for request_class in settings.classes}
    if len(names) < len(settings.classes):
        raise ConfigError("settings: classes must have different names")


def find_class_number(settings: Settings, name: str, key: str) -> int:
    """Return the number of the class `name`. Raises InvalidValueError, which names `key`, if none has it."""
    names = [request_class.name for request_class in settings.classes]
    if name not in names:
        raise InvalidValueError(key, f"must be one of {', '.join(names)}, not {name!r}")
    return names.index(name)
