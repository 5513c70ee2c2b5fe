package sapphiregauge

import "sapphiregauge/internal/fill"

// Job declares work that a pool must carry: a number of copies, each on one host.
type Job struct {
	Pool       string `json:"pool"`
	Copies     int    `json:"copies"`
	Cores      int    `json:"cores"`
	Memory     int    `json:"memory"` // GiB
	Accels     int    `json:"accels"`
	Checkpoint bool   `json:"checkpoint"` // it can be stopped and resume elsewhere
}

// SetDefaults sets the fields that an operator left out.
func (j *Job) SetDefaults() { fill.Zero(&j.Copies, 1) }

func (j *Job) validate(fs *Faults) {
	if j.Pool == "" {
		fs.Add("pool", "is missing")
	}
	atLeast(fs, "copies", j.Copies, 1)
	atLeast(fs, "cores", j.Cores, 0)
	atLeast(fs, "memory", j.Memory, 0)
	atLeast(fs, "accels", j.Accels, 0)
}
