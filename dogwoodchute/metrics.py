"""Metrics of callers' requests. No label has a value for each client account."""

import prometheus_client

SECONDS_BUCKETS = (0.01, 0.05, 0.1, 0.3, 0.6, 1.2, 2.5, 5, 10, 30, 60, 300)

requests = prometheus_client.Counter(
    "dogwoodchute_requests",
    "Requests that ended, by service, outcome and code.",
    ["service", "outcome", "code"],
)
in_flight = prometheus_client.Gauge(
    "dogwoodchute_requests_in_flight", "Requests that run on this host now."
)
seconds = prometheus_client.Histogram(
    "dogwoodchute_request_seconds",
    "Seconds from a request's arrival to its outcome.",
    ["service"],
    buckets=SECONDS_BUCKETS,
)
first_token_seconds = prometheus_client.Histogram(
    "dogwoodchute_first_token_seconds",
    "Seconds from a chat's arrival to its first token.",
    ["service"],
    buckets=SECONDS_BUCKETS,
)
tokens = prometheus_client.Counter(
    "dogwoodchute_tokens", "Tokens that endpoints reported as used.", ["service"]
)
