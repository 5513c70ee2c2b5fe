package node

// LoadCall is what the fleet lease holder sends to owners.
type LoadCall = loadCall
