"""The object front: an S3-compatible object API over HTTP, served by the core."""
