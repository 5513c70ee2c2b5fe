package stand

import gauge "sapphiregauge"

// rowsBody answers a read of rows.
type rowsBody struct {
	Rows []gauge.Row `json:"rows"`
}

// hostsBody answers a read of the host list.
type hostsBody struct {
	Hosts gauge.Sightings `json:"hosts"`
}

// rebootBody asks for a reboot.
type rebootBody struct {
	Token string `json:"token"`
}

// reportBody answers a host's report.
type reportBody struct {
	Reboot bool `json:"reboot"`
}
