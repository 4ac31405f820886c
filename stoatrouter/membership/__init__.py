"""Who is there: the nodes that a head may use, followed in a registry. No socket, no file, no clock."""
