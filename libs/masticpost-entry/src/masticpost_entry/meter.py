"""Adds up the usage of one request and bills it once."""

import asyncio

import attrs
from masticpost_common import clock
from masticpost_shards import bills, records
from masticpost_text import model

from masticpost_entry import intake, runtime

TOKENS_PER_PRICE = 1e6
SAFE_WAIT_S = 0.25


@attrs.define(kw_only=True)
class Meter:
    """Usage of one request over all its attempts and levels.

    Attributes
    ----------
    key : str
        Key of the bill.
    version : str
        Version that answered last.
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
    safe: asyncio.Future | None = None

    def open(self, version: model.Version | None, input_tokens: int) -> None:
        """Tell of the first dispatch; later dispatches change nothing."""
        if self.is_open:
            return
        self.is_open = True
        self.version = version.name if version else ""
        price = version.input_price if version else 0.0
        opened = self.open_record(input_tokens, price)
        self.safe = self.rt.agreed.bills.open(opened)

    def open_record(self, input_tokens: int, input_price: float) -> records.BillOpen:
        """Return the record of the first dispatch."""
        return records.BillOpen(
            key=self.key,
            customer=self.call.customer.name,
            service=self.call.service.name,
            version=self.version,
            run=self.rt.agreed.shards.run,
            at=clock.wall_ms(),
            input_tokens=input_tokens,
            input_price=input_price,
        )

    async def make_safe(self) -> None:
        """Wait, before an answer ends, until its open record outlives this process.

        The record is on its way since the dispatch, so that only an answer that is
        faster than it waits. An outage of the object API is not waited for.
        """
        if self.safe is not None and not self.safe.done():
            await asyncio.wait([self.safe], timeout=SAFE_WAIT_S)

    def add(self, version: model.Version, inputs: int, outputs: int) -> None:
        """Add the tokens of an answer, or of a part of one."""
        self.version = version.name
        self.input_tokens += inputs
        self.output_tokens += outputs
        self.cost += inputs * version.input_price / TOKENS_PER_PRICE
        self.cost += outputs * version.output_price / TOKENS_PER_PRICE

    def add_price(self, price: float) -> None:
        """Add the price of an operation of a plain service."""
        self.cost += price

    def close(self, state: str) -> None:
        """Bill the request, if it was dispatched and is not billed yet."""
        if not self.is_open or self.is_closed:
            return
        self.is_closed = True
        self.rt.agreed.bills.close(self.close_record(state))

    def close_record(self, state: str) -> records.BillClose:
        """Return the request's bill, and count it against the customer's budget."""
        self.rt.agreed.budgets.add(self.call.customer.name, self.cost)
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
    """Return the meter of a request whose bill is known by `unique`."""
    key = bills.bill_key(call.customer.name, unique)
    return Meter(rt=rt, call=call, key=key)
