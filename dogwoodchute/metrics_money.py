"""Metrics of budgets, bills, claims and the table service."""

import prometheus_client

DRAWN = prometheus_client.Counter(
    "dogwoodchute_drawn_tokens", "Tokens drawn from budgets by this host"
)
RETURNED = prometheus_client.Counter(
    "dogwoodchute_returned_tokens", "Tokens that this host returned to budgets"
)
BILLED = prometheus_client.Counter(
    "dogwoodchute_billed_tokens", "Tokens in durable bills that this host wrote"
)
BILLS = prometheus_client.Counter(
    "dogwoodchute_bills", "Bills by how they ended", ["end"]
)
PENDING_BILLS = prometheus_client.Gauge(
    "dogwoodchute_pending_bills", "Bills of this host that are not durable yet"
)
PENDING_COPIES = prometheus_client.Gauge(
    "dogwoodchute_pending_copies", "Copies of other hosts' bills kept here"
)
UNCOVERED = prometheus_client.Counter(
    "dogwoodchute_uncovered_tokens",
    "Used tokens that could not be billed, since the budget did not cover them",
)
REFUSALS = prometheus_client.Counter(
    "dogwoodchute_money_refusals", "Requests refused, by reason", ["reason"]
)
CLAIMS = prometheus_client.Counter(
    "dogwoodchute_claims", "Claims by how they ended", ["end"]
)
RECLAIMED = prometheus_client.Counter(
    "dogwoodchute_reclaimed_grants", "Grants of lost incarnations that were closed"
)
LOST_GRANTS = prometheus_client.Counter(
    "dogwoodchute_lost_grants", "Grants of this host that another host had closed"
)
TABLE_CALLS = prometheus_client.Counter(
    "dogwoodchute_table_calls", "Calls of the table service by outcome", ["outcome"]
)
UNRESOLVED_COMMITS = prometheus_client.Gauge(
    "dogwoodchute_unresolved_commits", "Commits that may have taken effect"
)
