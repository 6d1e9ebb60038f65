"""The operators' routes on health and metrics, and the check of the operators' key."""

import hmac

import prometheus_client
import sanic

from dogwoodchute import callers, catalog, state


def add_routes(app: sanic.Sanic, *, host: state.HostState) -> None:
    """Register the routes on `app`, and the check of the key on paths under `/ops/`."""

    async def check_key(request: sanic.Request) -> sanic.HTTPResponse | None:
        if not request.path.startswith("/ops/"):
            return None
        digest = catalog.hash_key(callers.bearer(request) or "")
        if hmac.compare_digest(digest, host.config.keys.operator_sha256):
            return None
        return callers.unauthorized()

    async def healthy(request: sanic.Request) -> sanic.HTTPResponse:
        return sanic.json({"status": "ok"})

    async def ready(request: sanic.Request) -> sanic.HTTPResponse:
        serving = host.ready and not host.draining
        return sanic.json({"ready": serving}, status=200 if serving else 503)

    async def metrics(request: sanic.Request) -> sanic.HTTPResponse:
        return sanic.HTTPResponse(
            prometheus_client.generate_latest(),
            content_type=prometheus_client.CONTENT_TYPE_LATEST,
        )

    app.register_middleware(check_key, "request")
    app.add_route(healthy, "/healthz", name="healthz")
    app.add_route(ready, "/readyz", name="readyz")
    app.add_route(metrics, "/metrics", name="metrics")
