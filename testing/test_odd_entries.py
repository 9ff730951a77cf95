"""Odd rows in the platform's list do not keep product daemons from the others."""

import json

import pytest
from masticpost_bench import deployment, layout, procs

DEPTH = 20_000
SLICE = {
    "metadata": {"name": "odd"},
    "ports": [{"name": "main", "port": 9}],
    "endpoints": [
        {"addresses": ["127.0.0.1"], "targetRef": {"name": "odd"}, "zone": "north"}
    ],
}


def _with_port(raw):
    return json.dumps(SLICE).replace('"port": 9', f'"port": {raw}')


def _with_address(text):
    return json.dumps(SLICE).replace('"127.0.0.1"', json.dumps(text))


ODD_ROWS = [
    "[" * DEPTH + "]" * DEPTH,
    '{"metadata": ' * DEPTH + "1" + "}" * DEPTH,
    "1e400",
    '"\\ud800"',
    "null",
    "{}",
    *map(_with_port, ("0", "-1", "65536", "9" * 30, "1e400", '"9"', "null", "[]")),
    *map(_with_address, ("", "a b", "[::1", "*", "\u0661", "h/x", "\n")),
]


# Guards against a row that cannot be read and takes the list or the daemon with it
# (issue 30, other operators' reports).
@pytest.mark.parametrize("stream", [False, True])
async def test_odd_rows_in_the_list_do_not_hide_the_others(stream):
    async with deployment.Deployment(plan=layout.small()) as dep:
        await dep.run_action("list", "put-odd", ODD_ROWS)
        starts = {name: d.proc.is_running() for name, d in dep.daemons.items()}
        assert all(starts.values())
        for number in range(6):
            reply = await dep.chat(f"{number} [len=2]", stream=stream)
            assert reply.status == 200
            assert (await dep.book(f"{stream}-{number}")).status == 201
        dep.start_daemon("entry-late", "north")
        await dep.publish_instance_list()
        await dep.wait_ready()
        await dep.mark_leaving("engine-0", "upstreams")

        async def is_followed():
            for name in dep.daemons:
                rows = (await dep.status(name))["upstreams"]
                if any(r["is_usable"] for r in rows if r["name"] == "engine-0"):
                    return False
            return True

        await procs.wait_for(is_followed, "engine-0 out")
        assert all(daemon.proc.is_running() for daemon in dep.daemons.values())
