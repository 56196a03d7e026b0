"""The platform's append-only log: client, tailing and claims on keys."""
