package stand

import gauge "sapphiregauge"

// rowsBody is the response to a read of rows.
type rowsBody struct {
	Rows []gauge.Row `json:"rows"`
}

// hostsBody is the response to a read of the host list.
type hostsBody struct {
	Hosts gauge.HostList `json:"hosts"`
}

// rebootBody is the request of a reboot; the token makes it idempotent.
type rebootBody struct {
	Token string `json:"token"`
}

// reportBody is the response to a host's report: whether it is to reboot.
type reportBody struct {
	Reboot bool `json:"reboot"`
}
