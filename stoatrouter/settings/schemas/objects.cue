// The operator's file of the object front: deploy/objects.cue shows its form.
package schemas

#Objects: {
	// where clients connect, host:port
	listen!: =~"^.+:[0-9]{1,5}$"
	// 32 bytes or more, the same at every head; beside this file
	secret_file!: =~"^[^/\\\\]+$"
	// classes that pieces are read and written as
	read_class!:  =~"\\S"
	write_class!: =~"\\S"
	// core requests that one operation has open together
	window: *4 | int & >0 & <=64
	// further ones are told SlowDown
	max_operations: *64 | int & >0 & <=10000
	buckets!: {[=~"^[a-z0-9][a-z0-9.-]{1,61}[a-z0-9]$"]: #Bucket}
	// an operator's rule file that gives calls their class, plan and key
	rules?: =~"^[^/\\\\]+\\.cue$"
}

// A bucket is a volume with its plan; where rules give the plan, it is left out here.
#Bucket: {
	volume!: =~"^[0-9a-f]{16}$"
	plan?:   =~"\\S"
	// through how many heads requests of the volume come
	hosts: *1 | int & >0 & <=1024
}
