"""An order is found as long as any agent of its pool knows its outcome."""

import asyncio
from types import SimpleNamespace

import pytest
from tornado.httputil import HTTPHeaders

from pomelothread.entry.orders import look_up_order_outcome
from pomelothread.operators.sheet import Service
from pomelothread.outcomes import NotKnown, NotRun, Run
from pomelothread.peers.dispatch import (
    NOT_KNOWN,
    NOT_RUN,
    OUTCOME_HEADER,
    REASON_HEADER,
    RUN,
)
from pomelothread.peers.http_exchange import ResponseHead

LOST = (NOT_KNOWN, "answer-lost")
RUNNING = (NOT_KNOWN, "order-running")
UNSEEN = (NOT_RUN, "unknown-key")
FOUND = (RUN, "")
SERVICE = Service("bulk-order", "ledger", "orders", "plain", 20.0)


class FakeClient:
    """HTTP client with one prepared response for each agent."""

    def __init__(self, answers):
        self.answers = list(answers)

    def open_exchange(self, method, url, headers, total_timeout_s):
        outcome, reason = self.answers.pop(0)
        answer = HTTPHeaders({OUTCOME_HEADER: outcome, REASON_HEADER: reason})

        async def head():
            return ResponseHead(200, answer)

        async def read_whole(limit_bytes):
            return b"{}"

        return SimpleNamespace(head=head, read_whole=read_whole)


@pytest.mark.parametrize(
    ("answers", "expected", "n_left"),
    [
        ([FOUND, LOST], Run, 1),
        # The first agent's upstream does not know the order, the second's does.
        ([LOST, FOUND], Run, 0),
        ([LOST, LOST], NotKnown, 0),
        ([RUNNING, FOUND], NotKnown, 1),
        ([UNSEEN, FOUND], NotRun, 1),
        ([], NotKnown, 0),
    ],
)
def test_agents_are_asked_until_one_knows_what_became_of_an_order(
    answers, expected, n_left
):
    client = FakeClient(answers)
    views = [SimpleNamespace(http_address="127.0.0.1:1")] * len(answers)
    outcome = asyncio.run(look_up_order_outcome(client, views, "club", SERVICE, "k"))
    assert isinstance(outcome, expected)
    assert len(client.answers) == n_left
