"""The HTTP front: any request, matched by a rule table, as one request of the core."""
