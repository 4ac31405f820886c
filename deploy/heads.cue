// Heads that know each other. Off unless STOATROUTER_HEADS names a file of this form (docs/heads.md). The same
// file serves all heads of a fleet: a head finds itself in it by its name.
fleet:       "scores"
secret_file: "heads.secret"
folder:      "/var/lib/stoatrouter"
streams: {
	"n0": "127.0.0.1:8601"
	"n1": "127.0.0.1:8602"
	"n2": "127.0.0.1:8603"
}
voters: ["n0", "n1", "n2"]
// prepaid credit (docs/credit.md): credit: prices: "score-read": 1000
// a history of the HTTP front's rules (docs/rule-history.md): rules: versions: 100
