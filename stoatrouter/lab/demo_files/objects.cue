// The object front. It is off unless STOATROUTER_OBJECTS names a file of this form (docs/settings.md).
listen: "127.0.0.1:0"
// 32 bytes or more, the same at every head; beside this file. Never committed.
secret_file: "objects.secret"
// classes of the deployment's settings: reads and writes of pieces are requests of these
read_class:     "stats-export"
write_class:    "event-write"
window:         4  // core requests that one operation has open together
max_operations: 64 // further ones are told SlowDown

// A bucket is a volume with its plan. hosts: through how many heads requests of the volume come.
buckets: {
	"match-footage": {volume: "00000000f0a70001", plan: "premium", hosts: 2}
	"stats-exports": {volume: "00000000f0a70002", plan: "basic", hosts: 2}
}

// Rules may give calls another class, plan or key (docs/rules.md):
// rules: "rules.cue"
