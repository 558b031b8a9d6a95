// Schema of the settings file of one process. Every struct is open: unknown fields are ignored.
#Text: string & !=""
#IP:   =~"^(25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])([.](25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])){3}$"
#Addr: =~"^(25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])([.](25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])){3}:[1-9][0-9]{0,4}$"
#Port: int & >=1 & <=65535

"node-name"!:     #Text                     @want("the name of the machine")
role!:            #Text                     @want("the name of a role")
"machine-class"!: #Text                     @want("a class of machines")
serves?:          [...#Text]                @want("names in a list")
ip!:              #IP                       @want("an IPv4 address")
zone!:            #Text                     @want("the name of a zone")
region?:          string                    @want("the name of a region")
zones?: {[string]: string}                  @want("regions by zone")
"listen-addrs"?: {[string]: #Addr}          @want("addresses such as 10.0.0.1:8080 by name")
"ephemeral-ports"!: [#Port, #Port]          @want("the first and the last port, from 1 to 65535")
"seed-nodes"?:    [...#Addr]                @want("addresses such as 10.0.0.1:8080 in a list")
bootstrap?:       bool                      @want("true or false")
"quorum-member"?: bool                      @want("true or false")
limits?: {
	"cpu-fraction"?:     number & >0 & <=1024         @want("a share of a core over 0")
	"cpu-cores"?:        number & >0 & <=1024         @want("a number of cores over 0")
	"memory-mb"?:        number & >=0 & <=1073741824  @want("megabytes, 0 or more")
	"file-descriptors"?: int & >=0 & <=1073741824     @want("a whole number, 0 or more")
	"bandwidth-mbps"?:   number & >=0                 @want("megabits a second, 0 or more")
	"disk-mb"?:          number & >=0                 @want("megabytes, 0 or more")
	...
} @want("limits by name")
"data-directory"?: null | string            @want("a folder or null")
"heartbeat-s"?:   number & >0 & <=1000000   @want("seconds over 0")
contracts?:       [...string]               @want("names in a list")
"fault-tolerance"?: {
	"machine-losses"?: int & >=0 & <=1000000 @want("a whole number, 0 or more")
	zones?:            int & >=0 & <=1000000 @want("a whole number, 0 or more")
	"region-losses"?:  int & >=0 & <=1000000 @want("a whole number, 0 or more")
	...
} @want("numbers by name")
bounds?: string | [...string]               @want("name=value texts in a list or on one line")
"app-addr"?: null | #Addr                   @want("an address such as 10.0.0.1:8080")
service?:    null | string                  @want("the name of a service")
...
