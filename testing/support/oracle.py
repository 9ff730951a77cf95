"""Invariants, checked against the stand-ins' counters and the callers' replies."""

import collections

import attrs
from masticpost_bench import callers, deployment, layout
from masticpost_cli import bills as cli_bills
from masticpost_common import codec, registry
from masticpost_shards import bills, claims, log, state
from masticpost_upstream import openai

from support import workload

CHECKS = registry.Registry(kind="invariant")
MAX_REPORTED = 5


@attrs.define(kw_only=True)
class Evidence:
    """Observations of a run that checks use.

    `runs` counts the runs by booking key. `states` holds the stored state of each
    shard, `engines` the counters of each engine, `logs` the lines of each daemon.
    """

    sent: list[workload.SentRequest]
    runs: dict[str, int]
    states: list[state.State]
    engines: dict[str, dict]
    logs: dict[str, list[dict]]

    def of_kind(self, *kinds: str) -> list[workload.SentRequest]:
        """Return the requests of some kinds."""
        return [item for item in self.sent if item.kind in kinds]


async def collect(dep: deployment.Deployment, load: workload.Workload) -> Evidence:
    """Collect the evidence of a run."""
    store = dep.store()
    states = []
    for shard in range(dep.plan.shards):
        listed = await store.list({log.SHARD_LABEL: f"{shard:04d}"})
        states.append(log.replay(listed.unwrap(), shard).state)
    await store.close()
    return Evidence(
        sent=load.sent,
        runs=await dep.booking_runs(),
        states=states,
        engines={e.name: await dep.counts(e.name) for e in dep.plan.engines},
        logs=dep.logs(),
    )


def violations(evidence: Evidence) -> list[str]:
    """Return every violation of every invariant."""
    found = []
    for name in CHECKS.names():
        rows = CHECKS.get(name)(evidence)
        found += [f"{name}: {row}" for row in rows[:MAX_REPORTED]]
    return found


@CHECKS.register("non-idempotent calls run at most once")
def at_most_once(ev: Evidence) -> list[str]:
    """Every booking key has at most one run."""
    return [f"{key} ran {count} times" for key, count in ev.runs.items() if count > 1]


@CHECKS.register("an answered booking ran")
def answered_ran(ev: Evidence) -> list[str]:
    """A booking that was answered with success has exactly one run."""
    return [
        f"{item.key} was answered but ran {ev.runs.get(item.key, 0)} times"
        for item in ev.of_kind("book")
        if item.is_answered and ev.runs.get(item.key, 0) != 1
    ]


@CHECKS.register("a refusal saying not run is true")
def not_run_is_true(ev: Evidence) -> list[str]:
    """A booking all of whose replies say that it did not run has no run."""
    return [
        f"{item.key} ran, but every answer said that it did not"
        for item in ev.of_kind("book")
        if ev.runs.get(item.key, 0)
        and all(r.status and r.ran == "no" for r in item.replies)
    ]


@CHECKS.register("every refusal says whether it ran")
def refusals_are_typed(ev: Evidence) -> list[str]:
    """An error reply has a code and says whether the request ran."""
    return [
        f"{item.key}: status {reply.status} without code or ran"
        for item in ev.sent
        for reply in item.replies
        if reply.status >= 400 and not (reply.code and reply.ran)
    ]


@CHECKS.register("answers are whole and the caller's own")
def answers_match_prompts(ev: Evidence) -> list[str]:
    """Each answer equals, word by word, what the stand-in gives for its prompt."""
    found = []
    for item in ev.of_kind("whole", "stream"):
        reply = item.final
        if reply.status != 200:
            continue
        version = reply.headers["X-Model-Version"]
        expected = workload.expected_words(
            item.prompt, version, layout.QUALITIES[version]
        )
        if item.kind == "whole":
            words = reply.json()["choices"][0]["message"]["content"]
            if words != "".join(expected):
                found.append(f"{item.key}: the answer differs from the expected one")
            continue
        found += _stream_violations(item, expected)
    return found


def _stream_violations(item: workload.SentRequest, expected: list[str]) -> list[str]:
    body = item.final.body
    words = callers.stream_words(body)
    is_complete = body.endswith(b"data: [DONE]\n\n")
    has_error = b'"error"' in body
    if is_complete and words == expected:
        return []
    if not is_complete and words == expected[: len(words)] and has_error:
        return []
    if not is_complete and item.final.status == 0:
        return []
    return [f"{item.key}: {len(words)} of {len(expected)} words, error {has_error}"]


@CHECKS.register("a session keeps its version")
def sessions_keep_versions(ev: Evidence) -> list[str]:
    """All answers of a session come from one version."""
    versions_by_session = collections.defaultdict(set)
    for item in ev.sent:
        if item.session and item.final.status == 200:
            versions_by_session[item.session].add(item.final.headers["X-Model-Version"])
    return [
        f"{name} got {versions}"
        for name, versions in versions_by_session.items()
        if len(versions) > 1
    ]


@CHECKS.register("each request is billed exactly once")
def billed_once(ev: Evidence) -> list[str]:
    """Every answered request has one bill, and the totals count each bill once."""
    closed = {}
    found = []
    for shard_state in ev.states:
        for key, bill in shard_state.closed_bills.items():
            if key in closed:
                found.append(f"bill {key} is in two shards")
            closed[key] = bill
    total = sum(row.requests for row in cli_bills.sum_totals(ev.states))
    if total != len(closed):
        found.append(f"totals count {total} bills, there are {len(closed)}")
    for item in ev.sent:
        if item.is_answered and bill_key(item) not in closed:
            found.append(f"{item.key} was answered but not billed")
    return found


def bill_key(item: workload.SentRequest) -> str:
    """Return the key under which a request is billed."""
    if item.kind == "book":
        return claims.call_key(workload.CUSTOMER, item.key)
    messages = [openai.Message(role="user", content=item.prompt)]
    prompt = codec.to_json(messages)
    fingerprint = claims.fingerprint(workload.CUSTOMER.encode(), b"setup", prompt)
    return bills.bill_key(workload.CUSTOMER, f"{item.key}\0{fingerprint}")


@CHECKS.register("a cold upstream gets no more than it bears")
def cold_is_protected(ev: Evidence) -> list[str]:
    """No engine counted requests beyond its limit during a cold start."""
    return [
        f"{name} got {row['cold_over']} requests too many, peak {row['cold_peak']}"
        for name, row in ev.engines.items()
        if row["cold_over"]
    ]


@CHECKS.register("a configuration never reverts")
def generations_increase(ev: Evidence) -> list[str]:
    """The generations that an instance logs as in force strictly increase."""
    found = []
    for name, rows in ev.logs.items():
        numbers = [
            int(row["message"].split()[1])
            for row in rows
            if row["message"].startswith("generation ")
            and row["message"].endswith("in force")
        ]
        if numbers != sorted(set(numbers)):
            found.append(f"{name} put generations {numbers} in force")
    return found


@CHECKS.register("engines end with the versions of the text")
def engines_are_loaded(ev: Evidence) -> list[str]:
    """Orders were sent until every engine had loaded the versions of the text."""
    return [
        f"{name} has loaded {row['loaded']}, not {sorted(layout.QUALITIES)}"
        for name, row in ev.engines.items()
        if row["loaded"] != sorted(layout.QUALITIES)
    ]


@CHECKS.register("no part of an instance fails")
def no_unhandled_errors(ev: Evidence) -> list[str]:
    """No log line reports an unhandled error."""
    return [
        f"{name}: {row['message']} {row.get('exception', '')}"
        for name, rows in ev.logs.items()
        for row in rows
        if "exception" in row or "Crashed" in row["message"]
    ]
