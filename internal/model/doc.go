// Package model is a fleet in simulated time: backends, the server list, clients, the network and agents, each agent
// round the real decision module. It is a discrete-event model of what a rehearsal plays on sockets, from the same plan
// (package scenario), for sizes that no machine holds as processes: thousands of agents. It opens no socket, reads no clock
// and runs on one goroutine; one plan and one seed give the same results to the byte.
//
// What it leaves out stands in docs/lab.md, with the distance to rehearsals. Start reading at Run, then at world.
package model
