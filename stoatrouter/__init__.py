"""stoatrouter: a gateway that sends requests to storage nodes under the plans of their volumes."""
