"""At-most-once calls, as the entry sees them: claim, dispatch, outcome."""

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
TELL_TIMEOUT_S = 2.0
TELL_PAUSE_S = 0.5
PENDING_POLL_S = 0.1
RETRY_AFTER_S = 2.0
DOUBT_RETRY_S = 5.0


@attrs.frozen(kw_only=True)
class Granted:
    """The call may be dispatched once, by this attempt."""

    key: str
    nonce: str


def call_key(customer: str, idempotency_key: str) -> str:
    """Return the key of a non-idempotent call."""
    digest = hashlib.blake2b(digest_size=16)
    digest.update(f"{customer}\0{idempotency_key}".encode())
    return digest.hexdigest()


def fingerprint(*parts: bytes) -> str:
    """Return a digest that tells requests with different content apart."""
    digest = hashlib.blake2b(digest_size=16)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


class Claims(mode.Service):
    """Claims calls and tells how they ended.

    Parameters
    ----------
    shards : directory.Directory
        Routes to the owners.
    """

    def __init__(self, *, shards: directory.Directory) -> None:
        super().__init__()
        self.shards = shards
        self._tells: set[asyncio.Task] = set()

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

        The bill is opened in the commit that grants the claim; `inquiry` is kept
        with it for a doubt. With a `refusal` nothing is granted: a call that is not
        known gets the refusal.

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
            reply = await self._ask(claim, bill, grants=refusal is None)
            if reply.verdict == ops.ABSENT:
                raise refusal
            if reply.verdict == ops.GRANTED:
                return Granted(key=key, nonce=claim.nonce)
            if reply.verdict == ops.RECORDED and reply.answer is not None:
                return _kept(reply.answer)
            if reply.verdict != ops.PENDING:
                raise _refusal(reply.verdict, reply.is_asked)
            if time.monotonic() + PENDING_POLL_S >= deadline:
                raise _refusal(ops.PENDING)
            await asyncio.sleep(PENDING_POLL_S)

    async def _ask(
        self, claim: records.Claim, bill: records.BillOpen | None, *, grants: bool
    ) -> ops.ClaimReply:
        shard = self.shards.shard_of(claim.key)
        ask = ops.ClaimAsk(shard=shard, claim=claim, bill=bill, grants=grants)
        try:
            return await self.shards.call(ask, timeout_s=CLAIM_TIMEOUT_S)
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
        """Record answer and bill; waits a little for the commit, then goes on."""
        if len(answer.body) > ops.MAX_ANSWER_BYTES:
            answer = attrs.evolve(answer, body=b"", is_kept=False)
        task = self._tell(granted, records.DONE, answer, bill)
        await asyncio.wait([task], timeout=OUTCOME_WAIT_S)

    def doubt(self, granted: Granted) -> None:
        """Tell that the call may have run and is not sent any more."""
        self._tell(granted, records.DOUBTFUL, None, None)

    def release(self, granted: Granted) -> None:
        """Tell that the call was not and will not be dispatched by this attempt."""
        self._tell(granted, records.RELEASED, None, None)

    def _tell(
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
        tell = ops.OutcomeTell(shard=shard, outcome=outcome, bill=bill)
        task = asyncio.create_task(self._tell_until_done(tell))
        self._tells.add(task)
        task.add_done_callback(self._tells.discard)
        return task

    async def _tell_until_done(self, tell: ops.OutcomeTell) -> None:
        while True:
            try:
                await self.shards.call(tell, timeout_s=TELL_TIMEOUT_S)
            except (
                directory.ShardUnavailableError,
                directory.StoreUnavailableError,
            ):
                await asyncio.sleep(TELL_PAUSE_S)
            else:
                return

    async def flush(self, timeout_s: float) -> None:
        """Wait until every outcome is told, for at most `timeout_s`."""
        if self._tells:
            await asyncio.wait(list(self._tells), timeout=timeout_s)

    async def on_stop(self) -> None:
        """Give up on what is not told."""
        for task in list(self._tells):
            task.cancel()


def _kept(answer: records.Answer) -> records.Answer:
    if answer.is_kept:
        return answer
    raise errors.refuse(
        409,
        "answer_not_kept",
        "The call ran and was answered; its answer was too large to be kept.",
        ran=errors.RAN_YES,
    )


def _unavailable() -> errors.RefusalError:
    return errors.refuse(
        503,
        "claims_unavailable",
        "Calls that may run only once cannot be accepted now. It was not run.",
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
        "A call with this Idempotency-Key is at work.",
        ran=errors.RAN_MAYBE,
        retry_after_s=RETRY_AFTER_S,
    )


def in_doubt(status: int, what: str, is_asked: bool) -> errors.RefusalError:
    """Return the refusal of a call that may have run.

    With `is_asked` the service is asked what became of it, and a repeat with the same
    key gets the answer.
    """
    advice = "Ask the service."
    if is_asked:
        advice = "The service is being asked; come back with the same key."
    return errors.refuse(
        status,
        "in_doubt",
        f"{what}; it will not be run again while that is not known. {advice}",
        ran=errors.RAN_MAYBE,
        retry_after_s=DOUBT_RETRY_S if is_asked else None,
    )
