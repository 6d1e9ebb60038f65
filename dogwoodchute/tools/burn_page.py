"""Renders the burn report as one self-contained HTML page."""

import datetime
import html
import io

STYLE = (
    "body{font:15px sans-serif;margin:2em;max-width:70em}"
    "table{border-collapse:collapse}td,th{padding:.3em .8em;text-align:left;"
    "border-bottom:1px solid #ccc}.page{color:#b00020}.ticket{color:#a05a00}"
)
COLUMNS = (
    "service",
    "objective",
    "target",
    "missed",
    "burn 1h",
    "burn 6h",
    "burn 3d",
    "alert",
    "since (UTC)",
    "where",
)


def render(body: dict) -> str:
    """Return the page for the body of an answer of `/ops/v1/burn`."""
    at = datetime.datetime.fromtimestamp(body["at"], datetime.UTC)
    parts = [
        "<!DOCTYPE html><html lang='en'><meta charset='utf-8'>",
        f"<title>Service-level burn</title><style>{STYLE}</style>",
        f"<h1>Service-level burn, {at:%Y-%m-%d %H:%M} UTC</h1>",
        _table(body["objectives"]),
    ]
    for objective in body["objectives"]:
        title = f"{objective['service']}: {objective['measure']}"
        parts.append(f"<h2>{html.escape(title)}</h2>")
        parts.append(plot(objective))
    for remark in body["remarks"]:
        parts.append(f"<p>{html.escape(remark)}</p>")
    return "\n".join(parts) + "</html>\n"


def _table(objectives: list[dict]) -> str:
    head = "".join(f"<th>{name}</th>" for name in COLUMNS)
    lines = [f"<table><tr>{head}</tr>"]
    for objective in objectives:
        row = "".join(
            f"<td>{html.escape(cell)}</td>" for cell in table_cells(objective)
        )
        lines.append(f"<tr class='{objective['burning'] or 'calm'}'>{row}</tr>")
    return "\n".join([*lines, "</table>"])


def table_cells(objective: dict) -> list[str]:
    """Return the cells of an objective's row, in the order of `COLUMNS`."""
    since = "-"
    if objective["since"] is not None:
        start = datetime.datetime.fromtimestamp(objective["since"], datetime.UTC)
        since = f"{start:%Y-%m-%d %H:%M}"
    bound = f" within {objective['bound']:g} s" if objective["bound"] else ""
    places = [f"{place} {share:.0%}" for place, share in objective["places"]]
    places += [f"{name} {bad}/{total}" for name, bad, total in objective["endpoints"]]
    return [
        objective["service"],
        objective["measure"],
        f"{objective['target']:.3%}{bound}",
        f"{objective['bad']} of {objective['total']}",
        *(f"{rate[2]:.2f}" for rate in objective["rates"]),
        objective["burning"] or "-",
        since,
        ", ".join(places) if objective["burning"] else "-",
    ]


def plot(objective: dict) -> str:
    """Return the burn rate over time as an SVG element."""
    # The import takes a second, which other commands should not wait for.
    from matplotlib import figure

    burn_figure = figure.Figure(figsize=(9, 2.4), layout="constrained")
    axes = burn_figure.subplots()
    times = [
        datetime.datetime.fromtimestamp(start, datetime.UTC)
        for start, _ in objective["series"]
    ]
    rates = [rate for _, rate in objective["series"]]
    axes.plot(times, rates, marker=".", linewidth=1)
    axes.axhline(1.0, color="gray", linewidth=0.8)
    axes.set_ylabel("burn rate")
    axes.set_ylim(bottom=0)
    content = io.StringIO()
    burn_figure.savefig(content, format="svg")
    text = content.getvalue()
    return text[text.index("<svg") :]
