"""Errors that the quota package reports to operators. docs/fleet-errors.md lists them."""

from puffindeck_errors import OperatorError


class QuotaError(OperatorError):
    """Base class of this package's errors."""

    message_template = "a quota cannot be enforced"


class ClockTooFar(QuotaError):
    """This gateway's clock differs from the members' clocks by more than `quota.skew`.

    While it does, this gateway admits no request that has a strict limit.
    """

    message_template = (
        "this machine's clock differs by {apart_ms:.0f} ms from the median of the members' clocks; at most "
        "{allowed_ms:.0f} ms are allowed."
    )
    remedy_template = "Synchronize this machine's clock; until it agrees, strict quotas reject requests here."


class NoMajority(QuotaError):
    """No allocation is known for the current epoch, because no majority of the voters can be reached."""

    message_template = (
        "no allocation of permits by a majority of the voters {voters} is known here {since_ms:.0f} ms after the start "
        "of the current epoch."
    )
    remedy_template = (
        "Restart the missing voters or repair the network; strict quotas reject requests here once their permits "
        "are consumed."
    )


class VotersDiffer(QuotaError):
    """Another member is configured with different voters or a different epoch length.

    Two majorities of different sets of voters need not have a voter in common, so an epoch could get two allocations.
    """

    message_template = "{peer} is configured with the voters {theirs}, this gateway with {ours}."
    remedy_template = "Give both files the same `quota.voters`; until then strict quotas reject requests here."


class LimitUnknown(QuotaError):
    """Another member is configured with a different amount for this limit."""

    message_template = (
        "{peer} is configured with {theirs} for this limit, this gateway with {ours}; the lower one applies."
    )
    remedy_template = "Give all files the same limits, or reload the gateways whose settings are outdated."
