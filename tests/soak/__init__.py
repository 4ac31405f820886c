"""Long random runs in which heads end as the platform specifies; `benchmarks.soak` runs many seeds."""
