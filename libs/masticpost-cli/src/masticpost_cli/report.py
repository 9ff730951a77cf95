"""`masticpost report burn`: burn rates of the error budget over all instances."""

import asyncio
import base64
import html
import io
import pathlib
import time

from masticpost_entry import admin
from masticpost_telemetry import burn

from masticpost_cli import commands, gateways, session, status

PAGE = """<!doctype html><html lang="en"><meta charset="utf-8">
<title>masticpost: service-level burn</title>
<style>body{{font-family:sans-serif;margin:2em}}td,th{{padding:.2em .8em;
text-align:right;border-bottom:1px solid #ccc}}td:first-child{{text-align:left}}
</style><h1>Service-level burn</h1>
<p>Objective {objective:.2%}. A burn rate of 1 spends the error budget exactly by the
end of the window; page at {fast}, ticket at {slow}, on both windows.</p>
<table><tr><th>Series</th><th>Good</th><th>Bad</th><th>5 min</th><th>1 h</th>
<th>Budget left</th><th>p50 ms</th><th>p95 ms</th><th>p99 ms</th><th>Alert</th></tr>
{rows}</table><p><img alt="burn by series" src="data:image/png;base64,{plot}"></p>
</html>
"""


async def collect(ses: session.Session) -> list[burn.BurnRow]:
    """Return the burn rates of each series, merged over all reachable instances."""
    overview = await status.collect(ses)
    members = [m for m in overview.instances[0].members if m.http]
    reachable = {row.instance for row in overview.instances}
    urls = [f"{m.http}/admin/burn" for m in members if m.name in reachable]
    reports = await asyncio.gather(*(ses.fetch(url, admin.BurnReport) for url in urls))
    series = [item for report in reports for item in report.series]
    return burn.merge(series, now_s=time.time())


@commands.COMMANDS.register("report")
async def report_burn(ses: session.Session) -> int:
    """Print the burn report; exits with 1 if a series has an alert of level `page`."""
    has_addresses = bool(gateways.base_urls(ses))
    rows = await (gateways.burn_rows(ses) if has_addresses else collect(ses))
    if ses.args["--html"]:
        pathlib.Path(str(ses.args["--html"])).write_text(render_html(rows))
    if ses.wants_json:
        ses.print_json(rows)
    else:
        _print(ses, rows)
    has_page_alert = any(row.alert == "page" for row in rows)
    return commands.EXIT_NEGATIVE if has_page_alert else commands.EXIT_OK


def _print(ses: session.Session, rows: list[burn.BurnRow]) -> None:
    table = [
        [
            row.series.service,
            row.series.customer,
            row.series.domain,
            row.good,
            row.bad,
            *(f"{value:.1f}" for value in row.burn.values()),
            f"{row.budget_left:.0%}",
            f"{row.p95_ms:.0f}",
            row.alert or "-",
        ]
        for row in rows
    ]
    header = ["SERVICE", "CUSTOMER", "DOMAIN", "GOOD", "BAD"]
    header += [f"BURN {name}" for name in burn.WINDOWS_S]
    ses.print_table([*header, "BUDGET LEFT", "P95 MS", "ALERT"], table)


def render_html(rows: list[burn.BurnRow]) -> str:
    """Return the report as an HTML page with a plot."""
    lines = []
    for row in rows:
        cells = [
            _label(row),
            str(row.good),
            str(row.bad),
            *(f"{value:.1f}" for value in row.burn.values()),
            f"{row.budget_left:.0%}",
            *(f"{value:.0f}" for value in (row.p50_ms, row.p95_ms, row.p99_ms)),
            row.alert or "-",
        ]
        lines.append(
            "<tr>" + "".join(f"<td>{html.escape(c)}</td>" for c in cells) + "</tr>"
        )
    return PAGE.format(
        objective=burn.OBJECTIVE,
        fast=burn.FAST_BURN,
        slow=burn.SLOW_BURN,
        rows="\n".join(lines),
        plot=_plot(rows),
    )


def _label(row: burn.BurnRow) -> str:
    series = row.series
    return f"{series.service} / {series.customer} / {series.domain}"


def _plot(rows: list[burn.BurnRow]) -> str:
    """Return a bar plot of the burn rates per series, as a PNG in base64."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(9, 1.5 + 0.3 * max(1, len(rows))))
    labels = [_label(row) for row in rows]
    for offset, name in enumerate(burn.WINDOWS_S):
        positions = [i + 0.4 * offset for i in range(len(rows))]
        axes.barh(positions, [row.burn[name] for row in rows], height=0.4, label=name)
    axes.set_yticks(range(len(rows)), labels, fontsize=7)
    axes.axvline(burn.SLOW_BURN, linestyle="--", linewidth=1)
    axes.set_xlabel("burn rate")
    axes.legend()
    figure.tight_layout()
    out = io.BytesIO()
    figure.savefig(out, format="png", dpi=110)
    pyplot.close(figure)
    return base64.b64encode(out.getvalue()).decode()
