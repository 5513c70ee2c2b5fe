package schema

import (
	"time"

	gauge "sapphiregauge"
)

// The layouts below are the format of the record files. A field never gets another meaning; that
// takes a new schema version.

// needs is what a host must have at least.
type needs struct {
	Cores  int `yaml:"cores"`
	Memory int `yaml:"memory"`
	Accels int `yaml:"accels"`
}

func decodePoolV1(unmarshal func(any) error, r *gauge.Record) error {
	var v struct {
		head    `yaml:",inline"`
		Hosts   int              `yaml:"hosts"`
		Prefer  gauge.Preference `yaml:"prefer"`
		Zones   []string         `yaml:"zones"`
		Reserve int              `yaml:"reserve"`
		Floor   int              `yaml:"floor"`
	}
	if err := unmarshal(&v); err != nil {
		return err
	}
	r.Pool = &gauge.Pool{Hosts: v.Hosts, Prefer: v.Prefer, Zones: v.Zones, QuickReserve: v.Reserve, LongReserve: v.Floor}
	r.Pool.SetDefaults()
	return nil
}

// decodePoolV2 differs from version 1 in that the promise is a group of its own and the pool
// states what a host must have.
func decodePoolV2(unmarshal func(any) error, r *gauge.Record) error {
	var v struct {
		head    `yaml:",inline"`
		Promise struct {
			Hosts     int                 `yaml:"hosts"`
			Objective float64             `yaml:"objective"`
			Domain    gauge.FailureDomain `yaml:"domain"`
		} `yaml:"promise"`
		Prefer  gauge.Preference `yaml:"prefer"`
		Zones   []string         `yaml:"zones"`
		Reserve int              `yaml:"reserve"`
		Floor   int              `yaml:"floor"`
		Needs   needs            `yaml:"needs"`
	}
	if err := unmarshal(&v); err != nil {
		return err
	}
	r.Pool = &gauge.Pool{
		Hosts: v.Promise.Hosts, Objective: v.Promise.Objective, Domain: v.Promise.Domain,
		Prefer: v.Prefer, Zones: v.Zones, QuickReserve: v.Reserve, LongReserve: v.Floor,
		Cores: v.Needs.Cores, Memory: v.Needs.Memory, Accels: v.Needs.Accels,
	}
	r.Pool.SetDefaults()
	return nil
}

func decodeServiceV1(unmarshal func(any) error, r *gauge.Record) error {
	var v struct {
		head  `yaml:",inline"`
		Pool  string        `yaml:"pool"`
		Quick time.Duration `yaml:"quick"`
		Limit time.Duration `yaml:"limit"`
		Queue int           `yaml:"queue"`
		Body  int           `yaml:"body"`
		Tries int           `yaml:"tries"`
	}
	if err := unmarshal(&v); err != nil {
		return err
	}
	r.Service = &gauge.Service{
		Pool: v.Pool, QuickLimit: v.Quick, MaxTimeout: v.Limit, MaxQueued: v.Queue, MaxBody: v.Body, MaxTries: v.Tries,
	}
	r.Service.SetDefaults()
	return nil
}

func decodeTeamV1(unmarshal func(any) error, r *gauge.Record) error {
	var v struct {
		head  `yaml:",inline"`
		Quota int `yaml:"quota"`
	}
	if err := unmarshal(&v); err != nil {
		return err
	}
	r.Team = &gauge.Team{Quota: v.Quota}
	return nil
}

func decodeJobV1(unmarshal func(any) error, r *gauge.Record) error {
	var v struct {
		head       `yaml:",inline"`
		Pool       string `yaml:"pool"`
		Copies     int    `yaml:"copies"`
		Needs      needs  `yaml:"needs"`
		Checkpoint bool   `yaml:"checkpoint"`
	}
	if err := unmarshal(&v); err != nil {
		return err
	}
	r.Job = &gauge.Job{
		Pool: v.Pool, Copies: v.Copies, Checkpoint: v.Checkpoint,
		Cores: v.Needs.Cores, Memory: v.Needs.Memory, Accels: v.Needs.Accels,
	}
	r.Job.SetDefaults()
	return nil
}

func decodeWaveV1(unmarshal func(any) error, r *gauge.Record) error {
	var v struct {
		head   `yaml:",inline"`
		Pools  []string `yaml:"pools"`
		Paused bool     `yaml:"paused"`
	}
	if err := unmarshal(&v); err != nil {
		return err
	}
	r.Wave = &gauge.Wave{Pools: v.Pools, Paused: v.Paused}
	return nil
}
