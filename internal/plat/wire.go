package plat

import gauge "sapphiregauge"

// rowsBody is the response to a read of rows.
type rowsBody struct {
	Rows []gauge.Row `json:"rows"`
}

// hostsBody is the response to a read of the host list.
type hostsBody struct {
	Hosts gauge.HostList `json:"hosts"`
}

// tokenBody is the request for a reboot.
type tokenBody struct {
	Token string `json:"token"`
}
