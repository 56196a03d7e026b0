"""Append-only log of the platform: client, tailing, claims of idempotency keys."""
