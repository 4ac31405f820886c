"""Communication between heads: datagrams, streams, authentication and durable storage.

This package carries out the effects that the pure packages below it return (agreement, credit, history,
membership). A head imports none of it unless STOATROUTER_HEADS names a file.
"""
