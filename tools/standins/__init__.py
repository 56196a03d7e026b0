"""Stand-ins for upstreams and platform services, for tests and benchmarks."""
