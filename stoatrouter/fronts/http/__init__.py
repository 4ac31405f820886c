"""The HTTP front: any HTTP request, matched by a rule table, becomes one request of the core."""
