// Package mulberryspool holds the contracts shared by all roles: the two
// tables, the messages between processes, the time line and the interfaces
// of everything outside the process.
//
//	caller --HTTP--> entry --jsonrpc2--> agent --HTTP--> backend server
//	                   |                   |  \--HTTP ranges--> other agents
//	                   |                   \----HTTP ranges--> origin, weight store
//	                   \--HTTP--> object API, instance list
//
// Implementations of the interfaces live below internal/.
package mulberryspool
