// Schema of the specifications in one call, by kind and name. Every struct is open: unknown fields are ignored.
#Text:    string & !=""
#Seconds: number & >=0 & <=1000000

#Route: {
	host!:           #Text                          @want("the name of a host")
	"path-prefix"!:  =~"^/"                         @want("a prefix that starts with a slash")
	"route-kind"!:   =~"^(idempotent|mutating|deduplicated|egress)$" @want("idempotent, mutating, deduplicated or egress")
	"deadline-s"!:   number & >0 & <=1000000        @want("seconds over 0")
	"target-s"?:     #Seconds                       @want("seconds, 0 or more")
	priority?:       number & >=0 & <=1000000       @want("a whole number, 0 or more")
	"max-attempts"?: number & >=0 & <=1000000       @want("a whole number, 0 or more")
	service?:        #Text                          @want("the name of a service")
	split?: [...{
		service!: #Text                          @want("the name of a service")
		weight!:  number & >=0 & <=1000000       @want("a weight, 0 or more")
		...
	}] @want("a list of services and weights")
	...
}

#Service: {
	"health-path"?:      =~"^/"                      @want("a path that starts with a slash")
	"connection-limit"?: number & >=0 & <=1073741824 @want("a whole number, 0 or more")
	protocol?:           string                      @want("the name of a protocol")
	tls?:                bool                        @want("true or false")
	"self-dedup"?:       bool                        @want("true or false")
	...
}

#Limits: {
	"max-header-bytes"?: number & >=0 & <=1073741824    @want("bytes, 0 or more")
	"max-body-bytes"?:   number & >=0 & <=1099511627776 @want("bytes, 0 or more")
	"header-timeout-s"?: #Seconds                       @want("seconds, 0 or more")
	"idle-timeout-s"?:   #Seconds                       @want("seconds, 0 or more")
	...
}

routes?: {[string]: #Route}
services?: {[string]: #Service}
limits?: {[string]: #Limits}
