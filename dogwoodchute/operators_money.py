"""The operators' and callers' routes on budgets."""

import sanic

from dogwoodchute import callers, state
from dogwoodchute.controllers import budgets
from dogwoodchute.platform import table

DEFAULT_PAGE_SIZE = 100  # accounts in one answer
MAX_PAGE_SIZE = 1000
MAX_ID_LENGTH = 128  # characters


def add_routes(
    app: sanic.Sanic, *, host: state.HostState, account_budgets: budgets.Budgets
) -> None:
    """Register the operators' routes on `app`."""

    async def list_accounts(request: sanic.Request) -> sanic.HTTPResponse:
        after = request.args.get("after", "")
        try:
            limit = min(
                int(request.args.get("limit", DEFAULT_PAGE_SIZE)), MAX_PAGE_SIZE
            )
        except ValueError:
            return _error(400, "bad_request", "Set 'limit' to a whole number.")
        names = sorted(name for name in host.current.accounts if name > after)[:limit]
        totals = await account_budgets.paid_and_drawn(names)
        if isinstance(totals, table.Unavailable):
            return _unavailable(totals)
        accounts = [
            {"account": name, "paid": totals[name].paid, "drawn": totals[name].drawn}
            for name in names
            if name in totals
        ]
        body = {"accounts": accounts}
        if len(names) == limit:
            body["after"] = names[-1]
        return sanic.json(body)

    async def show(request: sanic.Request, name: str) -> sanic.HTTPResponse:
        budget = await account_budgets.show(name)
        if isinstance(budget, budgets.UnknownAccount):
            return _error(404, "unknown_account", f"No client account {name!r}.")
        if isinstance(budget, table.Unavailable):
            return _unavailable(budget)
        body = {**budget._asdict(), "holdings": [h._asdict() for h in budget.holdings]}
        return sanic.json(body)

    async def top_up(request: sanic.Request, name: str) -> sanic.HTTPResponse:
        body = request.json if request.body else None
        top_up_id, tokens = _parse_top_up(body)
        if top_up_id is None:
            message = (
                f"Send 'id' (1 to {MAX_ID_LENGTH} characters) and 'tokens' (above 0)."
            )
            return _error(400, "bad_request", message)
        outcome = await account_budgets.top_up(name, top_up_id, tokens)
        if isinstance(outcome, budgets.UnknownAccount):
            return _error(404, "unknown_account", f"No client account {name!r}.")
        if isinstance(outcome, budgets.Mismatch):
            message = f"This id counted {outcome.tokens} tokens before; use a new id."
            return _error(409, "id_reused", message)
        if isinstance(outcome, table.Unavailable):
            return _unavailable(outcome)
        body = {"account": name, "paid": outcome.paid, "repeated": outcome.repeated}
        return sanic.json(body)

    base = "/ops/v1/accounts"
    app.add_route(list_accounts, base, name="account_list")
    app.add_route(show, f"{base}/<name:str>", name="account_show")
    app.add_route(
        top_up, f"{base}/<name:str>/topups", methods=["POST"], name="account_top_up"
    )


def add_caller_routes(
    app: sanic.Sanic, *, host: state.HostState, account_budgets: budgets.Budgets
) -> None:
    """Register the callers' route on `app`."""

    async def balance(request: sanic.Request) -> sanic.HTTPResponse:
        account = host.account_of_key(callers.bearer(request) or "")
        if account is None:
            return callers.unauthorized()
        budget = await account_budgets.show_cached(account.name)
        if not isinstance(budget, budgets.Budget):
            return _error(503, "budget_out_of_reach", "Ask again later.")
        body = {
            "account": budget.account,
            "paid": budget.paid,
            "billed": budget.billed,
            "held": budget.drawn - budget.billed,
            "remaining": budget.paid - budget.billed,
        }
        return sanic.json(body)

    app.add_route(balance, "/v1/balance", name="balance")


def _parse_top_up(body: object) -> tuple[str | None, int]:
    """Return the id and tokens of a top-up, `(None, 0)` if the body is not valid.

    The id becomes part of a row's key, so it must not contain a slash.
    """
    if not isinstance(body, dict):
        return None, 0
    top_up_id, tokens = body.get("id"), body.get("tokens")
    if not isinstance(top_up_id, str) or not 0 < len(top_up_id) <= MAX_ID_LENGTH:
        return None, 0
    if not top_up_id.isprintable() or "/" in top_up_id:
        return None, 0
    if not isinstance(tokens, int) or isinstance(tokens, bool) or tokens < 1:
        return None, 0
    return top_up_id, tokens


def _unavailable(outcome: table.Unavailable) -> sanic.HTTPResponse:
    message = f"The table service gave no answer ({outcome.reason}); send it again."
    return _error(503, "store_unavailable", message)


def _error(status: int, code: str, message: str) -> sanic.HTTPResponse:
    return sanic.json({"error": {"code": code, "message": message}}, status=status)
