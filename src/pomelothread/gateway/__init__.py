"""The gateway: serves callers in front of upstreams that have no agent."""
