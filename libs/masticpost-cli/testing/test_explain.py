"""`explain` shows the cause of a request's outcome, from the logs of instances."""

import io
import json
import sys

import loguru
import multidict
import pytest
from masticpost_cli import explain, main, timeline
from masticpost_gateway.serving import call as calls
from masticpost_gateway.serving import headers
from masticpost_gateway.state import model
from masticpost_telemetry import logs

ID = "6946f0469c7e4215"


@pytest.fixture
def log():
    """Yield the stream that an instance's log is written to."""
    stream = io.StringIO()
    sink = logs.JsonSink(instance="front-a-1", stream=stream)
    loguru.logger.remove()
    loguru.logger.add(sink, level="INFO", format="{message}")
    yield stream
    loguru.logger.remove()


def log_request_end(
    request_id=ID, outcome="refused", status=503, reason="no upstream is ready"
):
    kind = model.CallKind.IDEMPOTENT
    route = model.Route(
        name="r",
        host="h",
        path_prefix="/",
        kind=kind,
        targets=(),
        timeout_s=2.0,
        objective_s=1.0,
    )
    call = calls.Call(
        head=headers.CallHead(
            request_id=request_id,
            deadline_s=None,
            key=None,
            session="",
            last_event_id="",
            prompt=headers.Prompt(),
        ),
        route=route,
        service=model.Service(name="s"),
        customer="c",
        priority=1,
        method="GET",
        target="/",
        passed=multidict.CIMultiDict(),
        body=b"",
        started_at=0.0,
        deadline_at=1.0,
    )
    call.records.append(
        calls.AttemptRecord(upstream="u1", model="", result="not connected", took_s=0.4)
    )
    call.log_end(outcome, status, reason)


def lines_of(text):
    lines = timeline.LogLines()
    lines.read(text.splitlines())
    return lines


def test_timeline_has_attempts_and_earlier_state_changes(log):
    loguru.logger.bind(event="store", kind="upstreams", fault="down").warning("lost")
    log_request_end(request_id="another")
    log_request_end()
    found = timeline.build_timeline(lines_of(log.getvalue()), ID)
    text = "\n".join(explain.render(found))
    assert "context: lost kind=upstreams fault=down" in text
    assert "outcome=refused status=503 reason=no upstream is ready" in text
    assert "tries: u1/-:not connected@0.400" in text
    assert "another" not in text


def test_upstream_event_with_the_request_id_is_not_an_end(log):
    """Guards against showing an upstream crash as another end of the request.

    Lines about a suspected request carry its id, as the line of its outcome does.
    """
    row = loguru.logger.bind(event="suspect", id=ID, upstream="u1", crashes=2)
    row.warning("an upstream has ended under a request")
    log_request_end()
    found = timeline.build_timeline(lines_of(log.getvalue()), ID)
    assert len(found.ends) == 1
    assert "crashes=2" in "\n".join(explain.render(found))


def test_unreadable_and_dropped_lines_and_clock_steps_are_counted(log):
    log_request_end()
    row = json.loads(log.getvalue())
    earlier = {**row, "at": "2001-01-01T00:00:00+08:00"}
    text = f"""Traceback (most recent call last):
    0.5 front-a-1 {json.dumps(row)}
{json.dumps(earlier)}
{{"message": "log lines dropped", "dropped": 17}}
{{"at": "never", "instance": "x", "message": "y"}}
"""
    lines = lines_of(text)
    assert (len(lines.entries), lines.unreadable, lines.dropped) == (2, 2, 17)
    assert lines.steps == 1
    assert len(explain.caveats(lines)) == 3


def test_entries_of_different_time_zones_are_sorted_by_time():
    lines = lines_of(
        """{"at":"2026-01-01T08:00:01+08:00","instance":"b","message":"m","id":"x"}
{"at":"2026-01-01T00:00:00+00:00","instance":"a","message":"m","id":"x"}"""
    )
    assert [row.instance for row in timeline.build_timeline(lines, "x").ends] == [
        "a",
        "b",
    ]


def run(monkeypatch, *argv):
    monkeypatch.setattr(sys, "argv", ["masticpost", "explain", *argv])
    with pytest.raises(SystemExit) as exited:
        main.main()
    return exited.value.code


def test_command_prints_the_timeline(log, tmp_path, monkeypatch, capsys):
    log_request_end()
    path = tmp_path / "front-a-1.log"
    path.write_text(log.getvalue())
    assert run(monkeypatch, ID, str(path)) == 0
    assert "no upstream is ready" in capsys.readouterr().out
    assert run(monkeypatch, ID, str(path), "--json") == 0
    assert json.loads(capsys.readouterr().out)["request_id"] == ID


def test_unknown_id_and_missing_file_are_reported(log, tmp_path, monkeypatch, capsys):
    path = tmp_path / "front-a-1.log"
    path.write_text("")
    assert run(monkeypatch, "unknown", str(path)) == 1
    assert "give the files of every instance" in capsys.readouterr().err
    assert run(monkeypatch, ID, str(tmp_path / "missing.log")) == 2
    assert "cannot read" in capsys.readouterr().err
