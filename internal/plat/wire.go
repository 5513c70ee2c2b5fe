package plat

import gauge "sapphiregauge"

// rowsBody is the answer to a read of rows.
type rowsBody struct {
	Rows []gauge.Row `json:"rows"`
}

// hostsBody is the answer to a read of the host list.
type hostsBody struct {
	Hosts gauge.Sightings `json:"hosts"`
}

// tokenBody asks for a reboot.
type tokenBody struct {
	Token string `json:"token"`
}
