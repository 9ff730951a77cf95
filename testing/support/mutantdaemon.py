"""Runs the daemon with one mechanism disabled, to show that the oracle detects it.

Usage: mutantdaemon.py MUTATION [daemon options]
"""

import sys

from masticpost_common import errors, registry
from masticpost_confsync import synchronizer
from masticpost_daemon import main
from masticpost_entry import acquisition, indoubt, plain, routing, streams
from masticpost_orders import dispatcher
from masticpost_shards import bills, ops, sessions, state, views
from masticpost_text import parse
from masticpost_upstream import engine, faults

MUTATIONS = registry.Registry(kind="mutation")


@MUTATIONS.register("claims are always granted")
def grant_always():
    def decide(working_state, op, is_running):
        working_state.calls[op.claim.key] = state.Call(claim=op.claim)
        reply = ops.ClaimReply(verdict=ops.GRANTED, nonce=op.claim.nonce)
        return ops.Decision(reply=reply, writes=[op.claim])

    ops.DECIDERS._entries[ops.ClaimRequest.MESSAGE_KIND] = decide


@MUTATIONS.register("calls in doubt are tried again")
def retry_calls_in_doubt():
    faults.VERDICTS[faults.FaultKind.CUT] = faults.VERDICTS[faults.FaultKind.REFUSED]


@MUTATIONS.register("calls in doubt are said not to have run")
def report_in_doubt_as_not_run():
    def in_doubt(exc, is_asked):
        return errors.refuse(502, "in_doubt", "It was not run.", ran=errors.RAN_NO)

    plain._in_doubt_refusal = in_doubt


@MUTATIONS.register("an unseen call is taken for one that never runs")
def conclude_not_run_at_once():
    indoubt._can_no_longer_run = lambda inquiry, since: True


@MUTATIONS.register("ids of answers are not compared")
def skip_ids():
    engine._check_id = lambda target, answer_id: None


@MUTATIONS.register("a cut stream just ends")
def end_cut_streams():
    async def relay(rt, run, req):
        requirements = routing.Requirements(target=run.version.name, policy="random")
        selection = await acquisition.find_upstream(rt, run.job.call, requirements)
        try:
            await streams._relay_from(rt, run, req, selection, requirements)
        except faults.UpstreamError:
            await streams._send_headers(run, req)
        await streams._finish(run)

    streams.relay = relay


@MUTATIONS.register("cold upstreams are taken for warm")
def ignore_cold():
    views.SharedView.is_warm = lambda self, upstream: True


@MUTATIONS.register("an order is given only once")
def send_orders_once():
    dispatch = dispatcher.OrderDispatcher._dispatch
    sent_orders = set()

    async def dispatch_once(self, up, order):
        before = self.orders_sent
        if (up.name, order.version) not in sent_orders:
            await dispatch(self, up, order)
        if self.orders_sent > before:
            sent_orders.add((up.name, order.version))

    dispatcher.OrderDispatcher._dispatch = dispatch_once


@MUTATIONS.register("sessions are not pinned")
def skip_pins():
    async def pin(self, key, proposed, replaces=""):
        return sessions.Pinned(version=proposed)

    sessions.Sessions.pin = pin


@MUTATIONS.register("bills are lost on the way")
def lose_bills():
    close_bill = bills.BillWriter.close

    def close(self, closed):
        if int(closed.key[:2], 16) % 8:
            close_bill(self, closed)

    bills.BillWriter.close = close


@MUTATIONS.register("any generation is put in force")
def accept_any_generation():
    def apply_if_newer(self, stored):
        if self.in_force is not None and stored == self.in_force.stored:
            return False
        text = parse.parse(stored.raw).text
        self.in_force = synchronizer.TextInForce(stored=stored, text=text)
        synchronizer.logger.info("generation {} in force", stored.generation)
        self.members.set_generation(stored.generation)
        for listener in self._listeners:
            listener(self.in_force)
        return True

    synchronizer.TextSynchronizer.apply_if_newer = apply_if_newer


if __name__ == "__main__":
    MUTATIONS.get(sys.argv.pop(1))()
    main.main()
