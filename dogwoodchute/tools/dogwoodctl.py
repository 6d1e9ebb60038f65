"""The operators' command line."""

import dataclasses
import sys

import cappa

from dogwoodchute.tools import (
    ctl_accounts,
    ctl_config,
    ctl_endpoints,
    ctl_hosts,
    ctl_orders,
    ctl_releases,
    ctl_report,
)


@cappa.command(name="dogwoodctl")
@dataclasses.dataclass
class Dogwoodctl:
    """Operate a fleet through any of its hosts.

    The operators' key is read from DOGWOODCTL_KEY, the host from --at or
    DOGWOODCTL_AT. Exit codes: 0 done, 1 refused, 2 wrong usage, 3 no host answered.
    """

    command: cappa.Subcommands[
        ctl_accounts.Account
        | ctl_config.Config
        | ctl_endpoints.Endpoint
        | ctl_hosts.Host
        | ctl_orders.Order
        | ctl_releases.Release
        | ctl_report.Report
    ]


def main(argv: list[str] | None = None) -> int:
    """Run one command; return the exit code."""
    try:
        cappa.invoke(Dogwoodctl, argv=argv, backend=cappa.backend, completion=False)
    except cappa.Exit as exit_:
        return int(exit_.code or 0)
    return 0


if __name__ == "__main__":
    sys.exit(main())
