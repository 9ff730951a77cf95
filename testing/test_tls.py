"""TLS between daemons and callers, upstreams and the operators' tool."""

import asyncio
import json
import os

import aiohttp
import attrs
import pytest
import pytest_asyncio
import trustme
from masticpost_bench import deployment, layout, procs, programs

pytestmark = [
    pytest.mark.asyncio(loop_scope="module"),
    pytest.mark.xdist_group("tls"),
]


@pytest.fixture(scope="module")
def tls(tmp_path_factory):
    directory = tmp_path_factory.mktemp("tls")
    ca = trustme.CA()
    cert = ca.issue_cert(procs.HOST)
    files = programs.Tls(
        cert=str(directory / "cert.pem"),
        key=str(directory / "key.pem"),
        ca=str(directory / "ca.pem"),
    )
    ca.cert_pem.write_to_path(files.ca)
    cert.private_key_pem.write_to_path(files.key)
    for pem in cert.cert_chain_pems:
        pem.write_to_path(files.cert, append=True)
    return files


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def dep(tls):
    plan = layout.small()
    services = {
        **plan.services,
        "setup": {**plan.services["setup"], "cascade": "threshold"},
    }
    plan = attrs.evolve(plan, services=services)
    async with deployment.Deployment(plan=plan, tls=tls) as started:
        yield started


async def test_requests_of_every_kind_are_served(dep):
    chat = await dep.chat("x [len=3]")
    stream = await dep.chat("x [len=3]", stream=True)
    booked = await dep.book("secure")
    assert (chat.status, stream.status, booked.status) == (200, 200, 201)
    assert dep.daemons["entry-0"].url.startswith("https://")


async def test_answers_are_rated_and_orders_are_sent(dep):
    await dep.run_action("engine-0", "forget", "large-1")

    async def is_loaded():
        return "large-1" in (await dep.counts("engine-0"))["loaded"]

    async def is_rated():
        await dep.chat("x [len=3]")
        return bool((await dep.counts("rating"))["ratings"])

    await procs.wait_for(is_loaded, "the version loaded again", 30.0)
    await procs.wait_for(is_rated, "a rating", 30.0)


async def test_caller_that_does_not_trust_the_ca_cannot_connect(dep):
    async with aiohttp.ClientSession() as http:
        with pytest.raises(aiohttp.ClientConnectorCertificateError):
            await http.get(dep.daemons["entry-0"].url + "/livez")


async def run_tool(dep, *args, ca=""):
    env = {**os.environ, "MASTICPOST_ADMIN_KEY": layout.ADMIN_KEY, "MASTICPOST_CA": ca}
    proc = await asyncio.create_subprocess_exec(
        procs.program_path("masticpost"),
        *args,
        "--json",
        f"--entry={dep.daemons['entry-0'].url}",
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.DEVNULL,
        env=env,
    )
    out, _ = await proc.communicate()
    return proc.returncode, out


async def test_tool_reaches_every_instance_if_it_trusts_the_ca(dep, tls):
    code, out = await run_tool(dep, "status", ca=tls.ca)
    found = json.loads(out)
    assert code == 0
    assert len(found["instances"]) == dep.plan.instances
    assert not found["unreachable"]
    assert (await run_tool(dep, "status"))[0] == 3
    await dep.book("burned")
    code, out = await run_tool(dep, "report", "burn", ca=tls.ca)
    assert code == 0
    assert any(row["series"]["service"] == "crews" for row in json.loads(out))
