"""The settings of the decision module, as JSON and TOML files have them."""

from __future__ import annotations

from typing import Any

import msgspec

from puffindeck.config.checks import ConfigError, figure_list, name_list, need, number, subtable
from puffindeck.interface import ClassSettings, Effect, Scope, Settings

EFFECTS = {"pure": Effect.IDEMPOTENT, "token": Effect.IDEMPOTENCY_KEY, "side_effect": Effect.NOT_IDEMPOTENT}
SCOPES = {"all": Scope.ALL, "zone": Scope.ZONE, "cell": Scope.CELL}


def _class(table: Any, index: int, aims: list[float]) -> ClassSettings:
    at = f"settings: classes[{index}]"
    effect, scope = str(need(table, "repeat", at)), str(table.get("group", "all"))
    if effect not in EFFECTS or scope not in SCOPES:
        raise ConfigError(f"{at}.repeat or .group is not known")
    return ClassSettings(
        latency_objective_ms=number(table, "aimMs", where=at),
        deadline_ms=number(table, "hardLimitMs", where=at, above=True),
        priority_weight=number(table, "worth", default=1.0, where=at),
        effect=EFFECTS[effect],
        scope=SCOPES[scope],
        window_ms=number(table, "keyTtlMs", default=0.0, where=at),
        message_latency_objective_ms=aims[index] if index < len(aims) else 0.0,
        name=str(table.get("name", "")),
    )


def _bound(table: Any) -> float:
    bound = number(table, "bound", default=0.0)
    if bound and bound <= 1:
        raise ConfigError("settings: bound must be over 1, or 0 for the module's own")
    return bound


def _evenness(table: Any) -> float:
    evenness = number(table, "evenness", default=0.0)
    if evenness and evenness < 1:
        raise ConfigError("settings: evenness must be 1 or more, or 0 for the ring as its points fall")
    return evenness


def settings_of(table: Any) -> Settings:
    """The settings, as the simulator's first message and a node's file have them."""
    family, prices = subtable(table, "familyInfo"), subtable(table, "prices")
    need(table, "limits")
    limits, classes = subtable(table, "limits"), need(table, "classes")
    if not isinstance(classes, list) or not classes:
        raise ConfigError("settings: classes must be a list of at least one")
    aims = figure_list(family, "messageAimMs")
    return Settings(
        classes=tuple(_class(item, i, aims) for i, item in enumerate(classes)),
        gateways=int(number(table, "peersTotal", 1)),
        zone=int(number(table, "locality", default=0.0)),
        max_attempts=int(number(table, "limits.maxAttempts", 1)),
        drain_grace_ms=number(table, "rules.drainGraceMs"),
        answer_slack_ms=number(table, "rules.answerSlackMs"),
        slow_start_initial_fraction=number(table, "rules.coldFrom"),
        slow_start_ms=number(table, "rules.warmAfterMs"),
        slow_start_load_multiple=number(table, "rules.overloadFactor"),
        slow_start_window_ms=number(table, "rules.fallMs"),
        period_ms=number(table, "periodMs", default=1.0),
        connect_timeout_ms=number(table, "limits.connectTimeoutMs", default=250.0),
        must_watch_endpoints=table.get("membershipMode") == "subscribe",
        watch_deadline_ms=number(table, "rules.askWithinMs", default=10000.0),
        can_cancel=bool(limits.get("cancelling", False)),
        uses_weights=table.get("weights", "silent") in ("nominal", "rough"),
        cross_zone_cost=number({"prices": prices}, "prices.crossZone", default=0.0),
        over_quota_weight=number(table, "overShareWorth", default=1.0),
        tenant_connection_quotas=tuple(figure_list(family, "tenantQuotaConnections")),
        reports_load=bool(family.get("tellsLoad", False)),
        reports_latency=bool(family.get("tellsDelay", False)),
        bound=_bound(table),
        evenness=_evenness(table),
        max_retry_after_ms=(
            number(table, "limits.maxRetryAfterMs", default=0.0) if limits.get("retryAfter") else 0.0
        ),
        zones=name_list(table, "zones"),
        kinds=name_list(table, "kinds"),
    )


def settings(text: bytes) -> Settings:
    """The settings in the first message of an instance."""
    try:
        table = msgspec.json.decode(text)
    except ValueError as error:
        raise ConfigError(f"settings: not JSON: {error}") from None
    return settings_of(table)
