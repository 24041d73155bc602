// Package mulberryspool defines the types shared by all roles: the tables of
// routes and pools, the messages between processes, the events of the time line
// and the interfaces to everything outside the process.
//
//	caller --HTTP--> entry --jsonrpc2--> agent --HTTP--> backend server
//	                   |                   |  \--HTTP ranges--> other agents
//	                   |                   \----HTTP ranges--> origin, weight store
//	                   \--HTTP--> object API, instance list
//
// The interfaces are implemented in packages below internal/.
package mulberryspool
