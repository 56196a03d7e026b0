"""Health, load, cache and management of the upstream beside an agent."""
