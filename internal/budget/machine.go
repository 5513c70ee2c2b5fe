package budget

// Machine has the budgets of a process, by who connects.
type Machine struct {
	Clients *Budget
	Peers   *Budget // other entries
	Probes  *Budget // readiness checks and metrics
}

// Parts of a process's memory and connections that each kind of client may take. What is left of the
// memory is for the work itself, and what is left of the connections for those that the process opens:
// to workers, to the table and to other entries.
const (
	clientBytesDivisor = 4
	peerBytesDivisor   = 8
	probeBytesDivisor  = 32
	clientConnsDivisor = 3
	peerConnsDivisor   = 4
	probeConnsDivisor  = 32
	// reservedFiles is how many file descriptors are not for connections.
	reservedFiles = 200
)

// Divide divides the memory of a process, in bytes, and its file descriptors. It counts evictions by
// the events that OPERATIONS.md lists.
func Divide(memory, files int, count func(event string)) Machine {
	conns := max(0, files-reservedFiles)
	part := func(bytesDivisor, connsDivisor int, evicted string) *Budget {
		return New(Config{Bytes: memory / bytesDivisor, Conns: max(1, conns/connsDivisor), Evicted: func() { count(evicted) }})
	}
	return Machine{
		Clients: part(clientBytesDivisor, clientConnsDivisor, "client evicted"),
		Peers:   part(peerBytesDivisor, peerConnsDivisor, "peer evicted"),
		Probes:  part(probeBytesDivisor, probeConnsDivisor, "probe evicted"),
	}
}
