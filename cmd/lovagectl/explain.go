package main

import (
	"os"

	"github.com/lovageglade/lovageglade/internal/explain"
	"github.com/lovageglade/lovageglade/internal/operate"
)

type explainCmd struct {
	Request string `arg:"" help:"The caller's id of the request."`
	Folder  string `arg:"" help:"Folder with the logs of gateways and sidecars." type:"existingdir"`
}

func (c *explainCmd) Run(operator *operate.Operator) error {
	lines, err := explain.ReadLogs(os.DirFS(c.Folder))
	if err != nil {
		return err
	}
	explanation, err := explain.ForRequest(lines, c.Request)
	if err != nil {
		return err
	}
	return explanation.Write(operator.Out)
}
