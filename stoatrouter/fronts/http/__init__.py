"""The HTTP front: matches HTTP requests against a rule table and translates them to requests of the core."""
