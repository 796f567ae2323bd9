"""Messages between the members of a fleet, and reports to operators, for modules that do no I/O."""

from puffindeck_messaging.messages import MessageReceived, SendMessage
from puffindeck_messaging.reports import REPORT_INTERVAL_MS, Report, ReportThrottle

__all__ = ["REPORT_INTERVAL_MS", "MessageReceived", "Report", "ReportThrottle", "SendMessage"]
