"""HAProxy configurations that several tests share."""

from __future__ import annotations

BACKENDS = "backend a\n server x 127.0.0.1:1\nbackend b\n server y 127.0.0.1:2\n"
