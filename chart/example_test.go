package chart_test

import (
	"fmt"

	"github.com/chervilwell/chervilwell/chart"
)

func Example() {
	c, err := chart.Load("door.jsonc", []byte(`{
	  "name": "door", "initial": "closed", // comments are allowed
	  "states": [{"name": "closed"}, {"name": "open"}],
	  "events": ["push", "pull"], "actions": ["ring"],
	  "transitions": [
	    {"from": "closed", "event": "push", "to": "open", "actions": ["ring"]},
	    {"from": "open", "event": "pull", "to": "closed"},
	  ],
	}`), []chart.Action{"ring"})
	if err != nil {
		fmt.Println(err)
		return
	}
	m := chart.NewMachine(c)
	actions, _ := m.Fire("push")
	_, refused := m.Fire("push")
	fmt.Println(m.State(), actions)
	fmt.Println(refused)
	// Output:
	// open [ring]
	// chart door: state "open" has no transition on event "push"; call Can first or add the transition to the chart
}
