package commands

import (
	"encoding/json"

	"agateramp/internal/operator/config"
)

type configHistoryCommand struct {
	storeFlags `embed:""`
	Last       int `help:"Number of versions to list, newest first." default:"20"`
}

// historyLine is one version as JSON.
type historyLine struct {
	Version    uint64 `json:"version"`
	Time       string `json:"time"`
	Who        string `json:"who"`
	From       string `json:"from"`
	ChangeID   string `json:"change_id"`
	Reason     string `json:"reason,omitempty"`
	RollbackTo uint64 `json:"rollback_to,omitempty"`
	Services   int    `json:"services"`
}

// Run lists the newest versions, one JSON object per line.
func (c *configHistoryCommand) Run(env *environment) (err error) {
	ctx, s, closeStore, err := c.open()
	if err != nil {
		return err
	}
	defer closeStore()
	manifests, err := config.LoadHistory(ctx, s, c.Last)
	if err != nil {
		return err
	}
	out := json.NewEncoder(env.stdout)
	for _, m := range manifests {
		err = out.Encode(historyLine{
			Version: m.Version, Time: m.Time.Format(timeFormat), Who: m.Who, From: m.From, ChangeID: m.ChangeID,
			Reason: m.Reason, RollbackTo: m.RollbackTo, Services: len(m.Services),
		})
		if err != nil {
			return err
		}
	}
	return nil
}
