"""Settles bills of requests whose instance ended before it reported their usage.

Such a bill covers the input tokens only: see docs/design/bills.md.
"""

import attrs
from masticpost_common import clock

from masticpost_shards import ops, records, state

SETTLE_AFTER_S = 30.0


@attrs.define(kw_only=True)
class AbandonedBills:
    """Finds the open bills that no instance will close.

    Parameters
    ----------
    is_running : callable
        Returns whether a run of an instance may still be active.
    settle_after_s : float
        Seconds until an open bill of an ended instance is settled, counted from
        when the owner first finds the instance ended.
    """

    is_running: ops.IsRunning
    settle_after_s: float = SETTLE_AFTER_S
    _ended_since: dict[str, float] = attrs.field(factory=dict)

    def due_closes(
        self, working_state: state.State, now: float
    ) -> list[records.BillClose]:
        """Return the settlements that are due at the monotonic time `now`."""
        found = []
        opens = working_state.open_bills
        for key in [key for key in self._ended_since if key not in opens]:
            del self._ended_since[key]
        for opened in opens.values():
            if self.is_running(opened.run) or _awaits_inquiry(
                working_state, opened.key
            ):
                self._ended_since.pop(opened.key, None)
                continue
            since = self._ended_since.setdefault(opened.key, now)
            if now - since >= self.settle_after_s:
                found.append(_settled(opened))
        return found


def _awaits_inquiry(working_state: state.State, key: str) -> bool:
    """Return whether the bill's call has an inquiry and no final outcome yet."""
    call = working_state.calls.get(key)
    if call is None or call.claim.inquiry is None:
        return False
    return not state.is_final(call)


def _settled(opened: records.BillOpen) -> records.BillClose:
    return records.BillClose(
        key=opened.key,
        customer=opened.customer,
        service=opened.service,
        version=opened.version,
        state=records.SETTLED,
        at=clock.wall_ms(),
        input_tokens=opened.input_tokens,
        cost=opened.input_tokens * opened.input_price / 1e6,
    )
