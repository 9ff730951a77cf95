"""The operators' tool against a running deployment."""

import asyncio
import hashlib
import json
import os

import pytest
import pytest_asyncio
from masticpost_bench import deployment, layout, procs

pytestmark = [
    pytest.mark.asyncio(loop_scope="module"),
    pytest.mark.xdist_group("cli"),
]


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def dep():
    async with deployment.Deployment(plan=layout.small()) as started:
        yield started


async def run_tool(dep, *args, stdin=""):
    """Run the tool and return exit code, output and errors."""
    env = {
        **os.environ,
        "MASTICPOST_STORE_URL": dep.standins["store"].url,
        "MASTICPOST_ENTRY": dep.daemons["entry-0"].url,
        "MASTICPOST_ADMIN_KEY": layout.ADMIN_KEY,
    }
    proc = await asyncio.create_subprocess_exec(
        procs.program_path("masticpost"),
        *args,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
        env=env,
    )
    out, err = await proc.communicate(stdin.encode())
    return proc.returncode, out.decode(), err.decode()


async def test_check_reports_every_finding_with_its_position(dep, tmp_path):
    path = tmp_path / "text.yaml"
    path.write_text(dep.text().replace("domain: north", "domain: nroth"))
    code, _, err = await run_tool(dep, "check", str(path))
    assert code == 1
    assert err.count("failure domain 'nroth' is not known") == 2
    assert f"{path}:" in err
    assert "use one of: north, south" in err
    code, out, _ = await run_tool(dep, "check", str(path), "--json")
    rows = json.loads(out)["findings"]
    assert code == 1
    assert all(row["place"]["line"] > 1 for row in rows)


@pytest.mark.parametrize(
    ("path", "field"),
    [
        ("services.setup", "cascade"),
        ("services.setup", "choice"),
        ("versions.small-1", "judge"),
    ],
)
async def test_check_reports_unknown_policy(dep, tmp_path, path, field):
    """A text with an unknown policy would fail every request of the service."""
    file = tmp_path / "text.yaml"
    file.write_text(dep.text({path: {field: "bset"}}))
    code, _, err = await run_tool(dep, "check", str(file))
    assert code == 1
    assert "'bset' is not known" in err
    assert "use one of:" in err


async def test_apply_show_history_and_diff(dep, tmp_path):
    path = tmp_path / "text.yaml"
    path.write_text(dep.text({"versions.small-1": {"input_price": 7.5}}))
    await dep.refresh_generation()
    before, after = dep.generation, dep.generation + 1
    code, out, _ = await run_tool(dep, "diff", str(path))
    assert code == 1
    assert "+    input_price: 7.5" in out
    code, out, _ = await run_tool(dep, "apply", str(path), "--note", "dearer")
    assert (code, out) == (0, f"generation {after} accepted\n")
    await dep.wait_generation(after)
    code, out, _ = await run_tool(dep, "show")
    assert out.strip() == path.read_text().strip()
    code, out, _ = await run_tool(dep, "history")
    assert code == 0
    assert "dearer" in out
    span = ("--from", str(before), "--to", str(after))
    code, out, _ = await run_tool(dep, "diff", *span)
    assert "+    input_price: 7.5" in out


async def test_conflicting_apply_is_refused_with_the_difference(dep, tmp_path):
    path = tmp_path / "text.yaml"
    path.write_text(dep.text({"versions.small-1": {"input_price": 8.5}}))
    await dep.refresh_generation()
    base_generation = dep.generation
    await dep.apply()
    code, out, err = await run_tool(
        dep, "apply", str(path), "--seen", str(base_generation)
    )
    assert code == 1
    assert f"made from generation {base_generation}" in err
    assert "+    input_price: 8.5" in out


async def test_drain_and_restore_edit_the_text(dep):
    code, out, _ = await run_tool(dep, "drain", "domain", "south")
    assert code == 0
    generation = int(out.split()[1])
    await dep.wait_generation(generation)
    code, out, _ = await run_tool(dep, "status")
    assert code == 0
    assert [row for row in out.splitlines() if row.startswith("engine-1")][0].endswith(
        "out"
    )
    code, out, _ = await run_tool(dep, "restore", "domain", "south")
    assert code == 0
    await dep.wait_generation(generation + 1)
    code, _, err = await run_tool(dep, "drain", "domain", "west")
    assert code == 2
    assert "west" in err


async def test_status_shows_every_instance(dep):
    code, out, _ = await run_tool(dep, "status", "--json")
    data = json.loads(out)
    assert code == 0
    assert [row["instance"] for row in data["instances"]] == [
        "entry-0",
        "entry-1",
        "entry-2",
    ]
    assert {row["generation"] for row in data["instances"]} == {data["head_generation"]}


async def test_bills_and_audit_agree_with_what_ran(dep, tmp_path):
    for number in range(3):
        assert (await dep.book(f"audited-{number}")).status == 201

    async def is_billed():
        _, out, _ = await run_tool(dep, "bills", "--json")
        return sum(row["requests"] for row in json.loads(out)) >= 3

    await procs.wait_for(is_billed, "the bills")
    ran = sum((await dep.booking_runs()).values())
    row = {"customer": "plant-0", "service": "crews", "version": "", "requests": ran}
    path = tmp_path / "ran.json"
    path.write_text(json.dumps([row]))
    code, out, _ = await run_tool(dep, "audit", str(path))
    assert (code, out) == (0, "0 differences\n")
    path.write_text(json.dumps([{**row, "requests": ran + 1}]))
    code, out, _ = await run_tool(dep, "audit", str(path))
    assert code == 1
    assert f"billed {ran}, ran {ran + 1}" in out


async def test_burn_report_counts_requests(dep, tmp_path):
    page = tmp_path / "burn.html"
    assert (await dep.book("burned", via="entry-1")).status == 201
    code, out, _ = await run_tool(dep, "report", "burn", "--html", str(page), "--json")
    rows = json.loads(out)
    assert code == 0
    assert any(row["series"]["service"] == "crews" for row in rows)
    assert "data:image/png;base64," in page.read_text()


async def test_hash_key(dep):
    code, out, _ = await run_tool(dep, "hash-key", stdin="secret\n")
    assert (code, out.strip()) == (0, hashlib.sha256(b"secret").hexdigest())


async def test_wrong_usage_and_unreachable_instance(dep):
    code, _, err = await run_tool(dep, "polish")
    assert code == 2
    assert "Usage:" in err
    url = f"http://127.0.0.1:{procs.free_ports(1)[0]}"
    code, _, err = await run_tool(dep, "status", "--entry", url)
    assert code == 3
    assert url in err
