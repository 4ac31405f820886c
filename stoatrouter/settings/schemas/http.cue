// The operator's file of the HTTP front: deploy/http.cue shows its form.
package schemas

#Http: {
	// where clients connect, host:port
	listen!: =~"^.+:[0-9]{1,5}$"
	// the operator's rule file, beside this one
	rules!: #CueFile
	// one that is asked beside it and decides nothing; its differences are counted
	shadow?: #CueFile
	// whether nodes see X-Forwarded-For and Via
	forwarded: *true | bool
	// a sample of request heads, for `rules explain` and `rules diff`
	record?: {
		file!:      =~"^[^/\\\\]+$"
		one_in:     *100 | int & >0
		most_bytes: *16Mi | int & >=4096 & <=1Gi
		mask: *["authorization", "cookie", "proxy-authorization"] | [...=~"^[a-z0-9!#$%&'*+.^_`|~-]+$"]
	}
}

#CueFile: =~"^[^/\\\\]+\\.cue$"
