"""Adds up the usage of one request and bills it once."""

import asyncio

import attrs
from masticpost_common import clock
from masticpost_shards import bills, records
from masticpost_text import model

from masticpost_entry import intake, runtime

# Prices are per million tokens.
TOKENS_PER_PRICE = 1e6
COMMIT_WAIT_S = 0.25


@attrs.define(kw_only=True)
class Meter:
    """Usage of one request over all its attempts and levels.

    Attributes
    ----------
    key : str
        Key of the bill.
    version : str
        Version that was dispatched first, then the one that answered last.
    cost : float
        Cost so far, in the currency of the text.
    is_open, is_closed : bool
        Whether the bill was opened and closed.
    open_commit : asyncio.Future or None
        Completes when the opening record is committed; None before the dispatch.
    """

    rt: runtime.Runtime
    call: intake.Call
    key: str
    version: str = ""
    input_tokens: int = 0
    output_tokens: int = 0
    cost: float = 0.0
    is_open: bool = False
    is_closed: bool = False
    open_commit: asyncio.Future | None = None

    def open(self, version: model.Version | None, input_tokens: int) -> None:
        """Open the bill at the first dispatch; later calls do nothing."""
        if self.is_open:
            return
        self.is_open = True
        self.version = version.name if version else ""
        price = version.input_price if version else 0.0
        opened = self.open_record(input_tokens, price)
        self.open_commit = self.rt.cluster.bills.open(opened)

    def open_record(self, input_tokens: int, input_price: float) -> records.BillOpen:
        """Return the record that opens the bill."""
        return records.BillOpen(
            key=self.key,
            customer=self.call.customer.name,
            service=self.call.service.name,
            version=self.version,
            run=self.rt.cluster.shards.run,
            at=clock.wall_ms(),
            input_tokens=input_tokens,
            input_price=input_price,
        )

    async def wait_until_durable(self) -> None:
        """Wait, before an answer ends, until the opening record is committed.

        The record then survives the end of this process. Its commit begins with the
        dispatch, so only answers faster than the commit wait. The wait is limited to
        `COMMIT_WAIT_S`, so answers are not held up by an outage of the object API.
        """
        if self.open_commit is not None and not self.open_commit.done():
            await asyncio.wait([self.open_commit], timeout=COMMIT_WAIT_S)

    def add(self, version: model.Version, inputs: int, outputs: int) -> None:
        """Add the tokens and the cost of an answer or of a part of one."""
        self.version = version.name
        self.input_tokens += inputs
        self.output_tokens += outputs
        self.cost += inputs * version.input_price / TOKENS_PER_PRICE
        self.cost += outputs * version.output_price / TOKENS_PER_PRICE

    def add_price(self, price: float) -> None:
        """Add the price of an operation of a plain service."""
        self.cost += price

    def close(self, state: str) -> None:
        """Bill the request if it was dispatched and is not billed yet."""
        if not self.is_open or self.is_closed:
            return
        self.is_closed = True
        self.rt.cluster.bills.close(self.close_record(state))

    def close_record(self, state: str) -> records.BillClose:
        """Return the closing record; counts the cost against the customer's budget."""
        self.rt.cluster.budgets.add(self.call.customer.name, self.cost)
        return records.BillClose(
            key=self.key,
            customer=self.call.customer.name,
            service=self.call.service.name,
            version=self.version,
            state=state,
            at=clock.wall_ms(),
            input_tokens=self.input_tokens,
            output_tokens=self.output_tokens,
            cost=self.cost,
        )


def new_meter(rt: runtime.Runtime, call: intake.Call, unique: str) -> Meter:
    """Return a meter; the key of its bill is derived from `unique`."""
    key = bills.bill_key(call.customer.name, unique)
    return Meter(rt=rt, call=call, key=key)
