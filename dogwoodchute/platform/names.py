"""Names that the platform defines: HTTP headers, paths, tables and variables."""

ATTEMPT_ID = "X-Dogwoodchute-Attempt-Id"
DEADLINE_MS = "X-Dogwoodchute-Deadline-Ms"
PROMPT_PREFIX = "X-Dogwoodchute-Prompt-Prefix"
TOKEN_COUNT = "X-Dogwoodchute-Token-Count"
LAST_EVENT_ID = "Last-Event-Id"
RESUMES = "Resumes"  # attempt id that brought the first event of a stream taken up
SIGNATURE = "X-Dogwoodchute-Response-Signature"
ACCOUNT = "X-Dogwoodchute-Tenant"
TARGET = "X-Dogwoodchute-Target-Instance"
NOT_EXECUTED = "X-Dogwoodchute-Not-Executed"
PRIORITY = "X-Dogwoodchute-Request-Priority"
API_KEY = "X-Dogwoodchute-Credential"
RETRY_AFTER = "Retry-After"
LEAVING = "Server-Leaving"  # in answers of an endpoint
COLD_MS = "X-Dogwoodchute-Cold-Ms"  # in answers: milliseconds left
LIMIT = "Server-Limit"  # in answers: requests a second from all hosts
STORE_ERA = "Store-Era"  # in answers of the store; rises when it is restored
LEAVING_YES = "1"  # the header's value if the endpoint is leaving

# Headers that only this system may set; those of a caller are dropped.
RESERVED = frozenset(
    name.lower()
    for name in (
        ACCOUNT,
        TARGET,
        NOT_EXECUTED,
        PRIORITY,
        API_KEY,
        SIGNATURE,
        DEADLINE_MS,
        "X-Dogwoodchute-Instance-Id",
        "X-Dogwoodchute-Weight-Versions",
        "X-Dogwoodchute-Expected-Version",
        "X-Dogwoodchute-Pin-Ms",
        "X-Dogwoodchute-Hold",
        "X-Dogwoodchute-Kv-Backup",
        "Kv-From",
        "Kv-Fetch",
    )
)
# Hop-by-hop headers (RFC 9110, section 7.6.1) and headers of a body's framing.
HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)

REPORT_PATH = "/api/report"  # of an endpoint
READINESS_PATH = "/api/readyz"
DIRECTORY_PATH = "/api/resolve"
TX_PATH = "/api/rows-tx"
GET_PATH = "/api/rows-get"
FEED_PATH = "/api/rows-feed"

CONFIG_TABLE = "op"
CONFIG_KEY = "config"
EVACUATION_PREFIX = "evacuate/"  # of keys in the configuration's table
ENDPOINTS_TABLE = "servers"

SETTINGS_VARIABLE = "DOGWOODCHUTE_SETTINGS"
