"""Errors that the quota package reports to operators. docs/fleet-errors.md lists them."""

from puffindeck_errors import OperatorError


class QuotaError(OperatorError):
    """Base class of this package's errors."""

    message_template = "a quota can't be enforced"


class ClockTooFar(QuotaError):
    """This gateway's clock differs from the members' clocks by more than `quota.skew`.

    While it does, this gateway admits no request that has a strict limit.
    """

    message_template = (
        "this machine's clock is {apart_ms:.0f} ms from most members' clocks, and {allowed_ms:.0f} ms are allowed."
    )
    remedy_template = "Set this machine's clock by its time service; until it agrees, strict quotas refuse here."


class NoMajority(QuotaError):
    """No allocation is known for the current epoch, because no majority of the voters can be reached."""

    message_template = "no majority of the voters {voters} agreed on who is given permits since {since_ms:.0f} ms ago."
    remedy_template = (
        "Bring the missing voters back or mend the network; strict quotas refuse here once their permits are consumed."
    )


class VotersDiffer(QuotaError):
    """Another member is configured with different voters or a different epoch length.

    Two majorities of different sets of voters need not have a voter in common, so an epoch could get two allocations.
    """

    message_template = "{peer} counts the voters {theirs}, and this file {ours}."
    remedy_template = "Give both files the same `quota.voters`; until then strict quotas refuse here."


class LimitUnknown(QuotaError):
    """Another member is configured with a different amount for this limit."""

    message_template = "{peer} has {theirs} for this limit, and this file {ours}: the lower one counts."
    remedy_template = "Give all files the same limits, or reload those that are older."
