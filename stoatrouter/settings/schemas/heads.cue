// The operator's file of heads that know each other: deploy/heads.cue shows its form.
package schemas

#Heads: {
	// the same at all heads; heads of another fleet are not heard
	fleet!: #HeadName
	// 32 bytes or more, the same at every head; beside this file
	secret_file!: =~"^[^/\\\\]+$"
	// a folder that lasts over restarts; each head has one of its own name in it
	folder!: =~"\\S"
	// where streams reach the heads that vote or may come to vote: host:port by name
	streams!: {[=~"^[A-Za-z0-9][A-Za-z0-9_.-]{0,23}$"]: #HeadAddress}
	// where this head listens for streams; left out: at its address in streams
	listen?: #HeadAddress
	// the first voters, 1, 3 or 5 of streams; changed later by calls
	voters!: [...#HeadName]
	// without word from a majority for so long a head is cut off
	cut_off_after: *"3s" | #Span
	// a head that comes back waits so long for what was agreed on meanwhile
	wait_at_start: *"3s" | #Span
	detector: {
		period:       *"500ms" | #Span
		ack_within:   *"150ms" | #Span
		others:       *3 | int & >=0 & <=16
		suspicion:    *3.0 | number & >=1 & <=20
		local_health: *4 | int & >=0 & <=16
	}
	agreement: {
		heartbeat: *"100ms" | #Span
		election:  *"600ms" | #Span
	}
	// prepaid credit; left out: none
	credit?: #Credit
	// history of the HTTP front's rules; left out: none
	rules?: #RuleHistory
}

#Credit: {
	// millionths of a credit unit for each unit of a request, by class; a class not named is free
	prices!: {[=~"\\S"]: int & >=0 & <=1000000000000}
	// how long an allotment may be spent
	lease: *"5s" | #Span
	// how long a request waits for its customer's first allotment
	wait: *"150ms" | #Span
	// priced requests of volumes without a known customer, while a head does not know the newest ledger
	unknown_volumes: *"reject" | "serve"
}

#RuleHistory: {
	// versions kept
	versions: *100 | int & >=50 & <=10000
	// a live head that has not said within so long whether a version loads no longer stops it
	check_within: *"10s" | #Span
	// bytes of one set of files
	largest: *8Mi | int & >=1024 & <=16Mi
}

#HeadName:    =~"^[A-Za-z0-9][A-Za-z0-9_.-]{0,23}$"
#HeadAddress: =~"^.+:[0-9]{1,5}$"
#Span:        =~"^[0-9]+(\\.[0-9]+)?(ms|s|m)$"
