"""Rule files for tests, and the vocabulary that they are loaded with."""

from __future__ import annotations

from datetime import timedelta

from stoatrouter.matching.vocabulary import KnownClass, Vocabulary

VOCABULARY = Vocabulary(
    (
        KnownClass("score-read", True, timedelta(seconds=2)),
        KnownClass("event-write", False, timedelta(seconds=3)),
        KnownClass("stats-export", True, timedelta(seconds=6)),
    ),
    ("basic", "premium"),
    2,
    8,
)
# ids of volumes
FEED = "00000000f0a70001"
APP = "00000000f0a70002"
ARCHIVE = "00000000f0a70003"
OPERATOR = f"""
scopes: {{
	feed: {{hosts: ["scores.example"], paths: ["/feed/"], classes: ["score-read", "event-write"],
		plans: ["premium"], volumes: ["{FEED}"], file: "feed.cue"}}
	app: {{hosts: ["scores.example"], paths: ["/app/"], classes: ["score-read", "event-write"],
		plans: ["basic"], volumes: ["{APP}"], file: "app.cue"}}
	archive: {{hosts: ["*"], paths: ["/archive/"], classes: ["stats-export", "event-write"],
		plans: ["basic"], volumes: ["{ARCHIVE}"], file: "archive.cue"}}
}}
"""
READS = '{name: "reads", when: #"request.method in ["GET", "HEAD"]"#, class: "score-read"}'
WRITES = '{name: "writes", when: #"request.method == "PUT""#, class: "event-write"}'
TEAMS = {
    "feed": f"rules: [{READS}, {WRITES}]",
    "app": f"rules: [{READS}, {WRITES}]",
    "archive": """rules: [
	{name: "blocked", when: #"request.headers[?"x-client"].orValue("") == "banned""#,
		refuse: {status: 403, reason: "banned"}},
	{name: "exports", when: #"request.method == "GET""#, class: "stats-export", units: 4},
	{name: "uploads", when: #"request.method == "PUT""#, class: "event-write"},
]""",
}


def write_rules(folder, operator=OPERATOR, **teams):
    """Write the files of a rule table into a folder; returns the operator's file."""
    for name, text in {**TEAMS, **teams}.items():
        (folder / f"{name}.cue").write_text(text)
    (folder / "rules.cue").write_text(operator)
    return folder / "rules.cue"
