// The HTTP front. It is off unless STOATROUTER_HTTP names a file of this form (docs/http-front.md).
listen: "127.0.0.1:0"
// the operator's rule file, beside this one
rules: "rules.cue"
// a second rule file that decides nothing; where it would decide otherwise is counted
// shadow: "rules-next.cue"
// a sample of request heads for `rules explain` and `rules diff`; one_in, most_bytes and mask have defaults
// record: file: "requests.jsonl"
