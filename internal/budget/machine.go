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

// MachineConfig tells what a process may use.
type MachineConfig struct {
	Memory int // bytes
	Files  int // file descriptors
	// ReceiveBuffer is that of connections from clients and other entries, in bytes; 0: the default of
	// Config.
	ReceiveBuffer int
	Count         func(event string) // counts evictions by the events that OPERATIONS.md lists
}

// Divide divides what a process may use.
func Divide(c MachineConfig) Machine {
	conns := max(0, c.Files-reservedFiles)
	part := func(bytesDivisor, connsDivisor, receiveBuffer int, evicted string) *Budget {
		return New(Config{
			Bytes: c.Memory / bytesDivisor, Conns: max(1, conns/connsDivisor), ReceiveBuffer: receiveBuffer,
			Evicted: func() { c.Count(evicted) },
		})
	}
	return Machine{
		Clients: part(clientBytesDivisor, clientConnsDivisor, c.ReceiveBuffer, "client evicted"),
		Peers:   part(peerBytesDivisor, peerConnsDivisor, c.ReceiveBuffer, "peer evicted"),
		Probes:  part(probeBytesDivisor, probeConnsDivisor, 0, "probe evicted"),
	}
}
