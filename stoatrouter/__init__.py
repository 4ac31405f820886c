"""stoatrouter: a gateway that routes requests to storage nodes within the limits of their volumes' plans."""
