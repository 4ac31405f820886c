// Rules of the HTTP front (docs/rules.md). Class and plan names are those of the deployment's settings.
scopes: {
	feed: {
		hosts: ["*"]
		paths: ["/feed/"]
		classes: ["score-read", "event-write"]
		plans: ["premium"]
		volumes: ["00000000f0a70011"]
		rules: [
			{name: "reads", when: #"request.method in ["GET", "HEAD"]"#, class: "score-read"},
			{name: "writes", when: #"request.method in ["PUT", "POST"]"#, class: "event-write"},
		]
	}
	archive: {
		hosts: ["*"]
		paths: ["/archive/"]
		classes: ["stats-export", "event-write"]
		plans: ["basic"]
		volumes: ["00000000f0a70012"]
		rules: [
			{
				name: "banned"
				when: #"request.headers[?"x-client"].orValue("") == "partner-0007""#
				refuse: {status: 403, reason: "this client is blocked"}
			},
			{name: "exports", when: #"request.method in ["GET", "HEAD"]"#, class: "stats-export"},
			{name: "uploads", when: #"request.method == "PUT""#, class: "event-write"},
		]
	}
}
