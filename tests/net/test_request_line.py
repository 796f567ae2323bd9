"""A request's line, read in place."""

from __future__ import annotations

from puffindeck.core.clock import milliseconds
from puffindeck.net.request_line import RequestLine, RequestLineError
from tests.support.node_test_case import NodeTestCase


class RequestLineStories(NodeTestCase):
    """A line needs no peers."""

    def test_a_head_is_read_in_place(self) -> None:
        head = RequestLine(b"OPEN 1 zz,z c=chat,d=20.5,x=d=3")
        self.assertEqual(b"".join(head.parts(milliseconds(7.9))), b"OPEN 1 zz,z c=chat,d=7,x=d=3\r\n")
        with self.assertRaises(RequestLineError):
            RequestLine(b"OPEN 1 2 c=chat")
