"""The core: requests, attempts, outcomes and the one reducer. It knows no HTTP, socket or clock."""
