"""`status` and `report burn` of gateways, run as commands of the real tool."""

import asyncio
import json
import os

from masticpost_bench import procs
from masticpost_gateway import node
from support import gatewaykit as kit


async def tool(*args):
    """Run the tool without an operators' key; return exit code, stdout and stderr."""
    env = {k: v for k, v in os.environ.items() if not k.startswith("MASTICPOST_")}
    proc = await asyncio.create_subprocess_exec(
        procs.program_path("masticpost"),
        *args,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
        env=env,
    )
    out, err = await proc.communicate()
    return proc.returncode, out.decode(), err.decode()


async def add_nodes(dep, count):
    """Add nodes that form one mesh; return the addresses of their metrics."""
    found = []
    for number in range(count):
        port = procs.free_ports(1)[0]
        seeds = [started.cfg.mesh.address for started in dep.nodes]
        await dep.add_node(
            f"n{number}",
            seeds=seeds,
            metrics=node.Address(host="127.0.0.1", port=port),
        )
        found.append(f"127.0.0.1:{port}")
    return found


async def test_status_shows_each_gateway_and_its_cache_ages():
    async with kit.Deployment() as dep:
        await dep.add_worker("w1", kit.answers())
        await dep.configure()
        urls = await add_nodes(dep, 2)
        await kit.until(lambda: all(len(added.members()) == 2 for added in dep.nodes))
        code, out, err = await tool("status", *urls)
        assert (code, err) == (0, "")
        assert "n0" in out
        assert "ready at 2" in out
        code, out, _ = await tool("status", *urls, "--json")
        assert code == 0
        rows = json.loads(out)["instances"]
        assert {row["instance"] for row in rows} == {"n0", "n1"}
        assert all(belief["age_s"] < 10 for row in rows for belief in row["beliefs"])


async def test_status_reports_problems():
    async with kit.Deployment() as dep:
        await dep.configure()
        urls = await add_nodes(dep, 1)
        dead = f"127.0.0.1:{procs.free_ports(1)[0]}"
        dep.nodes[0].shared.closing_at = 0.0
        code, _, err = await tool("status", *urls, dead)
        assert code == 1
        assert f"http://{dead} does not answer" in err
        assert "n0 is not ready" in err


async def test_burn_report_is_merged_over_gateways():
    async with kit.Deployment() as dep:
        await dep.add_worker("w1", kit.answers(500))
        await dep.configure()
        urls = await add_nodes(dep, 2)
        await dep.call("/book/", method="POST", via=0)
        await dep.call("/book/", method="POST", via=1)
        code, out, _ = await tool("report", "burn", *urls, "--json")
        assert code == 1
        (row,) = json.loads(out)
        assert (row["good"], row["bad"], row["alert"]) == (0, 2, "page")
        assert row["series"] == {"service": "desk", "customer": "acme", "domain": "a"}


async def test_burn_report_fails_if_a_gateway_does_not_answer():
    async with kit.Deployment() as dep:
        await dep.configure()
        urls = await add_nodes(dep, 1)
        dead = f"127.0.0.1:{procs.free_ports(1)[0]}"
        code, _, err = await tool("report", "burn", *urls, dead)
        assert code == 3
        assert dead in err


async def test_route_tells_where_a_request_would_go():
    """Guards against a question that reaches an upstream, or hides an obstacle."""
    async with kit.Deployment() as dep:
        worker = await dep.add_worker("w1", kit.answers())
        await dep.add_worker("w2", kit.answers(), record={"is_draining": True})
        await dep.configure()
        urls = await add_nodes(dep, 1)
        question = ("gateway", "route", *urls, "--host", kit.HOST, "--path", "/chat/")
        prompt = ("--tokens-in", "1000", "--parts", "shared:900,own:100")
        code, out, err = await tool(*question, *prompt)
        assert (code, err) == (0, "")
        assert "n0 (a): would send it to w1" in out
        (row,) = [line for line in out.splitlines() if line.startswith("w2")]
        assert "draining" in row
        code, out, _ = await tool(*question, "--json")
        assert (code, json.loads(out)["chosen"]) == (0, "w1")
        assert worker.connections == 0


async def test_route_tells_of_unknown_routes_and_wrong_arguments():
    async with kit.Deployment() as dep:
        await dep.configure()
        urls = await add_nodes(dep, 1)
        question = ("gateway", "route", *urls, "--path", "/nowhere/")
        code, out, _ = await tool(*question, "--host", kit.HOST)
        assert code == 1
        assert "would reject it: no route matches host and path" in out
        code, _, err = await tool(*question)
        assert (code, err) == (2, "give --host\n")
        code, _, err = await tool(*question, "--host", "x", "--priority", "high")
        assert code == 2
        dead = f"127.0.0.1:{procs.free_ports(1)[0]}"
        code, _, err = await tool("gateway", "route", dead, *question[3:], "--host=x")
        assert code == 3
        assert dead in err
