"""What heartbeats tell of the versions on trial."""

from masticpost_gateway.learning import trial
from masticpost_gateway.sharing import replication


def told(
    trials: trial.Trials, now: float, *, has_doubts: bool
) -> dict[str, list[replication.BadVersion] | list[replication.TrialAge]]:
    """Return the fields of a heartbeat that concern the open trials.

    Parameters
    ----------
    now : float
        Monotonic time in seconds.
    has_doubts : bool
        Whether to tell of versions that may be bad.
    """
    bad, doubted, ages = [], [], []
    for service, row in trials.open.items():
        target = row.order.target
        age_s = now - row.since
        ages.append(replication.TrialAge(service=service, target=target, age_s=age_s))
        if row.verdict:
            bad.append(_bad(service, target, row.verdict))
        if has_doubts and row.doubt(now):
            doubted.append(_bad(service, target, ""))
    return {"bad": bad, "doubted": doubted, "trials": ages}


def _bad(service: str, target: str, reason: str) -> replication.BadVersion:
    return replication.BadVersion(service=service, target=target, reason=reason)


def note(trials: trial.Trials, body: replication.Heartbeat, sender: str) -> None:
    """Note what a heartbeat of another instance tells of the open trials."""
    for row in body.bad:
        trials.mark_bad(row.service, row.target, row.reason)
    doubted = {(row.service, row.target) for row in body.doubted}
    for key in doubted:
        trials.mark_doubtful(*key, sender)
    for row in body.trials:
        trials.note_age(row.service, row.target, row.age_s)
        if (row.service, row.target) not in doubted:
            trials.withdraw_doubt(row.service, row.target, sender)
