"""Builders for configurations in the form that the platform's operators publish."""


def make_route(
    name: str, host: str, kind: str, service: str, tier: int, **changes: object
) -> dict[str, object]:
    """Return a route for the paths below ``/NAME/``; `changes` override fields."""
    return {
        "name": name,
        "host": host,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 5000,
        "target_latency_ms": 1000,
        "priority": tier,
        "service": service,
        "max_attempts": 2,
        "resumable": False,
        **changes,
    }


def make_configuration(
    version: int,
    routes: list[dict[str, object]],
    tenants: list[dict[str, object]],
    **changes: object,
) -> dict[str, object]:
    """Return a configuration with the services ``engines`` and ``desk``.

    `changes` override fields.
    """
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "engines", "max_conns": 100, "engine": {"slots": 4}},
            {"name": "desk", "max_conns": 100},
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1_000_000,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": tenants,
        **changes,
    }
