package main

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"

	"larchthread/internal/scale"
)

// The command prints its results as JSON.
func TestScaleList(t *testing.T) {
	var out bytes.Buffer
	c := newRootCommand()
	c.SetArgs([]string{"scale", "list", "--hosts", "5,10", "--json"})
	c.SetOut(&out)
	if err := c.Execute(); err != nil {
		t.Fatal(err)
	}
	var result scale.ListResult
	if err := json.Unmarshal(out.Bytes(), &result); err != nil {
		t.Fatal(err)
	}
	if len(result.Rows) != 2 || result.Rows[1].Hosts != 10 || result.Rows[1].WholeBytes <= result.Rows[0].WholeBytes {
		t.Errorf("rows %+v", result.Rows)
	}
}

// A balancer process in front of a few hosts keeps at least one idle connection to each, and serves answers of 385 KB.
func TestScaleConnections(t *testing.T) {
	const hosts = 4
	result, err := scale.MeasureConnections(scale.ConnectionsConfig{
		Hosts: hosts, Program: os.Args[0], Env: []string{"LARCHTHREAD_SERVE=1"}})
	if err != nil {
		t.Fatal(err)
	}
	if result.IdleConnections < hosts || result.LargeAnswers == 0 {
		t.Errorf("%d idle connections to %d hosts, %d large answers", result.IdleConnections, hosts, result.LargeAnswers)
	}
}
