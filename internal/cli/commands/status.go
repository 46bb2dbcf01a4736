package commands

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"agateramp/internal/operator/adminpb"
	"agateramp/internal/process/certificates"
)

// adminTimeout limits a call to the admin API of one process.
const adminTimeout = 3 * time.Second

// adminFlags are the flags for the connection to the admin API of processes.
type adminFlags struct {
	Admin []netip.AddrPort `required:"" help:"HTTP addresses of the admin API of the processes."`
	tlsFlags
}

// tlsFlags are the flags for the operator's certificate files.
type tlsFlags struct {
	Certificate string `help:"PEM file with the operator's certificate; without it, plaintext is used."`
	Key         string `help:"PEM file with the operator's private key; required with --certificate."`
	Authority   string `help:"PEM file with the authority of the system's certificates; required with --certificate."`
}

// config returns nil, which selects plaintext, if no certificate is given.
func (f tlsFlags) config() (config *tls.Config, err error) {
	if f.Certificate == "" {
		return nil, nil
	}
	c, err := certificates.New(certificates.Config{CertificateFile: f.Certificate, KeyFile: f.Key, AuthorityFile: f.Authority})
	if err != nil {
		return nil, asUsageError(err)
	}
	return c.Client(), nil
}

func (f adminFlags) client(address netip.AddrPort) (client adminpb.AdminServiceClient, err error) {
	config, err := f.config()
	if err != nil {
		return nil, err
	}
	url := "http://" + address.String()
	if config != nil {
		url = "https://" + address.String()
	}
	transport := &http.Transport{TLSClientConfig: config, ForceAttemptHTTP2: true, DisableKeepAlives: true}
	return adminpb.NewAdminServiceClient(&http.Client{Transport: transport, Timeout: adminTimeout}, url), nil
}

type statusCommand struct {
	adminFlags
}

// processStatus is one process in the output of status.
type processStatus struct {
	Address string                  `json:"address"`
	Error   string                  `json:"error,omitempty"`
	Status  *adminpb.StatusResponse `json:"status,omitempty"`
}

// Run prints the status that each process reports. It fails if a process does not answer.
func (c *statusCommand) Run(env *environment) (err error) {
	defer func() { err = errors.WithMessage(err, "status") }()
	results := make([]processStatus, 0, len(c.Admin))
	failed := 0
	for _, address := range c.Admin {
		result, err := c.query(address)
		if err != nil {
			return err
		}
		if result.Error != "" {
			failed++
		}
		results = append(results, result)
	}
	if err = writeJSON(env.stdout, results); err != nil {
		return err
	}
	if failed > 0 {
		return errors.Errorf("%d of %d processes did not answer", failed, len(c.Admin))
	}
	return nil
}

// query requests the status of one process. A failed call is recorded in the result.
func (c *statusCommand) query(address netip.AddrPort) (result processStatus, err error) {
	client, err := c.client(address)
	if err != nil {
		return result, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	result.Address = address.String()
	response, err := client.Status(ctx, connect.NewRequest(&adminpb.StatusRequest{}))
	if err != nil {
		result.Error = err.Error()
		return result, nil
	}
	result.Status = response.Msg
	return result, nil
}

func writeJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.WithStack(encoder.Encode(value))
}
