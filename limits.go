package mulberryspool

// MaxHeadBytes limits the status line and headers that a client reads of an HTTP
// response. The default of net/http is 10 MiB, too much for the machines of agents.
const MaxHeadBytes = 64 << 10
