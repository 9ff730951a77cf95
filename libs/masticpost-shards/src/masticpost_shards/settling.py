"""Bills of requests whose instance ended before it told their usage.

Source: the rule of docs/design/bills.md, input tokens only.
"""

import attrs
from masticpost_common import clock

from masticpost_shards import ops, records, state

SETTLE_AFTER_S = 30.0


@attrs.define(kw_only=True)
class Abandoned:
    """Finds the open bills that nobody will close.

    Parameters
    ----------
    is_running : callable
        Tells whether a run of an instance may still be at work.
    settle_after_s : float
        Seconds after which the open bill of an ended instance is settled.
    """

    is_running: ops.IsRunning
    settle_after_s: float = SETTLE_AFTER_S
    _gone_since: dict[str, float] = attrs.field(factory=dict)

    def closes(self, working: state.State, now: float) -> list[records.BillClose]:
        """Return the bills to settle at a monotonic time."""
        found = []
        opens = working.open_bills
        for key in [key for key in self._gone_since if key not in opens]:
            del self._gone_since[key]
        for opened in opens.values():
            if self.is_running(opened.run) or _waits(working, opened.key):
                self._gone_since.pop(opened.key, None)
                continue
            since = self._gone_since.setdefault(opened.key, now)
            if now - since >= self.settle_after_s:
                found.append(_settled(opened))
        return found


def _waits(working: state.State, key: str) -> bool:
    """Tell whether a call's bill waits until its service says if it ran."""
    call = working.calls.get(key)
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
