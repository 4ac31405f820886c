"""Long random stories of heads that end as the platform's pages have it; `benchmarks.soak` plays them."""
