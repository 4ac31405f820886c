"""The core: requests, attempts, outcomes and the reducer, without any HTTP, socket or clock."""
