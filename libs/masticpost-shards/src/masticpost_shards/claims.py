"""Client side of at-most-once calls: claim a call, then report its outcome."""

import asyncio
import hashlib
import time
import uuid

import attrs
import mode
from masticpost_common import clock, errors

from masticpost_shards import directory, ops, records

CLAIM_TIMEOUT_S = 1.0
OUTCOME_WAIT_S = 0.5
REPORT_TIMEOUT_S = 2.0
REPORT_PAUSE_S = 0.5
PENDING_POLL_S = 0.1
RETRY_AFTER_S = 2.0
IN_DOUBT_RETRY_AFTER_S = 5.0


@attrs.frozen(kw_only=True)
class Granted:
    """The right of one attempt to dispatch a call once."""

    key: str
    nonce: str


def call_key(customer: str, idempotency_key: str) -> str:
    """Return the key of a non-idempotent call."""
    digest = hashlib.blake2b(digest_size=16)
    digest.update(f"{customer}\0{idempotency_key}".encode())
    return digest.hexdigest()


def fingerprint(*parts: bytes) -> str:
    """Return a digest of a request's content, to recognize different requests."""
    digest = hashlib.blake2b(digest_size=16)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


class Claims(mode.Service):
    """Claims calls and reports their outcomes.

    Parameters
    ----------
    shards : directory.Directory
        Routes operations to the shard owners.
    """

    def __init__(self, *, shards: directory.Directory) -> None:
        super().__init__()
        self.shards = shards
        self._reports: set[asyncio.Task] = set()

    async def claim(
        self,
        key: str,
        fingerprint: str,
        deadline: float,
        bill: records.BillOpen | None = None,
        inquiry: records.Inquiry | None = None,
        refusal: errors.RefusalError | None = None,
    ) -> Granted | records.Answer:
        """Return the right to dispatch, or the recorded answer of the call.

        The bill is opened in the same commit that grants the claim. `inquiry` is
        stored with the claim and is used if the call becomes in doubt. With a
        `refusal` nothing is granted, and a call that is not claimed gets the refusal.
        Polls until `deadline` (monotonic seconds) while another attempt is running.

        Raises
        ------
        errors.RefusalError
            ``idempotency_mismatch``, ``in_doubt``, ``in_progress`` or
            ``claims_unavailable``; each says whether the call ran.
        """
        claim = records.Claim(
            key=key,
            fingerprint=fingerprint,
            nonce=uuid.uuid4().hex,
            run=self.shards.run,
            at=clock.wall_ms(),
            inquiry=inquiry,
        )
        while True:
            reply = await self._request_claim(claim, bill, grants=refusal is None)
            if reply.verdict == ops.ABSENT:
                raise refusal
            if reply.verdict == ops.GRANTED:
                return Granted(key=key, nonce=claim.nonce)
            if reply.verdict == ops.RECORDED and reply.answer is not None:
                return _recorded_answer(reply.answer)
            if reply.verdict != ops.PENDING:
                raise _refusal(reply.verdict, reply.is_asked)
            if time.monotonic() + PENDING_POLL_S >= deadline:
                raise _refusal(ops.PENDING)
            await asyncio.sleep(PENDING_POLL_S)

    async def _request_claim(
        self, claim: records.Claim, bill: records.BillOpen | None, *, grants: bool
    ) -> ops.ClaimReply:
        shard = self.shards.shard_of(claim.key)
        request = ops.ClaimRequest(shard=shard, claim=claim, bill=bill, grants=grants)
        try:
            return await self.shards.call(request, timeout_s=CLAIM_TIMEOUT_S)
        except directory.StoreUnavailableError as exc:
            raise _unavailable() from exc
        except directory.ShardUnavailableError as exc:
            self.release(Granted(key=claim.key, nonce=claim.nonce))
            raise _unavailable() from exc
        except asyncio.CancelledError:
            self.release(Granted(key=claim.key, nonce=claim.nonce))
            raise

    async def finish(
        self, granted: Granted, answer: records.Answer, bill: records.BillClose | None
    ) -> None:
        """Report the answer and the bill; wait at most `OUTCOME_WAIT_S` seconds.

        The report goes on in the background if the commit takes longer.
        """
        if len(answer.body) > ops.MAX_ANSWER_BYTES:
            answer = attrs.evolve(answer, body=b"", is_kept=False)
        task = self._report_outcome(granted, records.DONE, answer, bill)
        await asyncio.wait([task], timeout=OUTCOME_WAIT_S)

    def mark_in_doubt(self, granted: Granted) -> None:
        """Report that the call may have run and will not be sent again."""
        self._report_outcome(granted, records.DOUBTFUL, None, None)

    def release(self, granted: Granted) -> None:
        """Report that this attempt has not dispatched the call and will not."""
        self._report_outcome(granted, records.RELEASED, None, None)

    def _report_outcome(
        self,
        granted: Granted,
        kind: str,
        answer: records.Answer | None,
        bill: records.BillClose | None,
    ) -> asyncio.Task:
        outcome = records.Outcome(
            key=granted.key,
            nonce=granted.nonce,
            kind=kind,
            at=clock.wall_ms(),
            answer=answer,
        )
        shard = self.shards.shard_of(granted.key)
        report = ops.OutcomeReport(shard=shard, outcome=outcome, bill=bill)
        task = asyncio.create_task(self._send_until_committed(report))
        self._reports.add(task)
        task.add_done_callback(self._reports.discard)
        return task

    async def _send_until_committed(self, report: ops.OutcomeReport) -> None:
        while True:
            try:
                await self.shards.call(report, timeout_s=REPORT_TIMEOUT_S)
            except (
                directory.ShardUnavailableError,
                directory.StoreUnavailableError,
            ):
                await asyncio.sleep(REPORT_PAUSE_S)
            else:
                return

    async def flush(self, timeout_s: float) -> None:
        """Wait until every outcome is committed, for at most `timeout_s` seconds."""
        if self._reports:
            await asyncio.wait(list(self._reports), timeout=timeout_s)

    async def on_stop(self) -> None:
        """Cancel the reports that are not committed."""
        for task in list(self._reports):
            task.cancel()


def _recorded_answer(answer: records.Answer) -> records.Answer:
    if answer.is_kept:
        return answer
    raise errors.refuse(
        409,
        "answer_not_kept",
        "The call ran and was answered; its answer was too large to be stored.",
        ran=errors.RAN_YES,
    )


def _unavailable() -> errors.RefusalError:
    return errors.refuse(
        503,
        "claims_unavailable",
        "Calls that may run only once cannot be accepted now. The call was not run.",
        retry_after_s=RETRY_AFTER_S,
    )


def _refusal(verdict: str, is_asked: bool = False) -> errors.RefusalError:
    if verdict == ops.MISMATCH:
        return errors.refuse(
            422,
            "idempotency_mismatch",
            "This Idempotency-Key was used for a different request. It was not run.",
        )
    if verdict == ops.IN_DOUBT:
        return in_doubt(409, "This call may have run", is_asked)
    return errors.refuse(
        409,
        "in_progress",
        "A call with this Idempotency-Key is in progress.",
        ran=errors.RAN_MAYBE,
        retry_after_s=RETRY_AFTER_S,
    )


def in_doubt(status: int, what: str, is_asked: bool) -> errors.RefusalError:
    """Return the refusal of a call that may have run.

    With `is_asked` the service is queried for the outcome of the call, and a repeat
    with the same key gets the answer.
    """
    advice = "Check with the service."
    if is_asked:
        advice = "The service is being queried; retry with the same key."
    return errors.refuse(
        status,
        "in_doubt",
        f"{what}; it is not run again until its outcome is known. {advice}",
        ran=errors.RAN_MAYBE,
        retry_after_s=IN_DOUBT_RETRY_AFTER_S if is_asked else None,
    )
