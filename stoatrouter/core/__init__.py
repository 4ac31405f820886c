"""The core: requests, attempts, outcomes and the reducer, independent of HTTP, sockets and clocks."""
