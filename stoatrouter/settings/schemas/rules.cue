// What rule files may say. docs/rules.md explains each field.
package schemas

#Rules: {
	scopes: {[string]: #Scope}
	otherwise: {
		status: *404 | int & >=400 & <=599
		reason: *"no rule matches" | #Text
	}
}

// A team's area. It is the operator's part: a team's own file has rules alone.
#Scope: {
	hosts: [...=~"^(\\*|(\\*\\.)?[a-z0-9._:\\[\\]-]+)$"]
	paths: *["/"] | [...=~"^/"]
	classes: [...#Word]
	plans: [...#Word]
	volumes: [...=~"^([0-9a-f]{16}|\\*)$"]
	steps:           *20000 | int & >0 & <=1000000
	hosts_of_volume: *1 | int & >0 & <=1024
	file?:           =~"^[^/\\\\]+\\.cue$"
	rules?: [...#Rule]
	rights: repeat_unsafe_methods: *false | bool
}

#Team: rules!: [...#Rule]

#Rule: {
	name!:     #Word
	when!:     #Expression
	class?:    #Word | #Computed
	volume?:   =~"^[0-9a-f]{16}$" | #Computed
	plan?:     #Word | #Computed
	key?:      =~"^[0-9a-f]{16}$" | #Computed
	shard?:    int & >=-1 | #Computed
	units?:    number & >0 | #Computed
	hosts?:    int & >0 & <=1024
	repeat?:   bool | #Computed
	deadline?: =~"^[0-9.]+(us|ms|s|m|h)$" | #Computed
	refuse?: {
		status: int & >=400 & <=599
		reason: #Text
	}
}

#Computed: expr: #Expression
#Expression: =~"\\S"
#Word: =~"^[A-Za-z0-9][A-Za-z0-9_.-]*$"
#Text: =~"^[ -~]{1,200}$"
