package commands

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/pkg/errors"

	"agateramp/internal/keyvalue/etcd"
	"agateramp/internal/keyvalue/store"
	"agateramp/internal/operator/config"
)

// configCommand groups the commands that check, change and show the configuration.
type configCommand struct {
	Check    configCheckCommand    `cmd:"" help:"Merge and check the configuration folder."`
	Diff     configDiffCommand     `cmd:"" help:"Show what an apply would change."`
	Apply    configApplyCommand    `cmd:"" help:"Make the folder the next version of the configuration."`
	Show     configShowCommand     `cmd:"" help:"Show the configuration."`
	History  configHistoryCommand  `cmd:"" help:"List the versions of the configuration."`
	Rollback configRollbackCommand `cmd:"" help:"Restore an earlier version as a new version."`
}

// folderFlag is the flag for the configuration folder.
type folderFlag struct {
	Folder string `help:"Configuration folder." default:"config" type:"path"`
}

// read loads and checks the folder and prints its warnings to standard error.
func (f *folderFlag) read(env *environment) (s *config.Source, err error) {
	info, err := os.Stat(f.Folder)
	if err == nil && !info.IsDir() {
		err = errors.Errorf("%s is not a folder", f.Folder)
	}
	if err != nil {
		return nil, asUsageError(err)
	}
	if s, err = config.ReadFolder(os.DirFS(f.Folder)); err != nil {
		return nil, asUsageError(err)
	}
	for _, w := range s.Warnings() {
		fmt.Fprintf(env.stderr, "agateramp: warning: %s\n", w)
	}
	return s, nil
}

// storeFlags are the flags for the connection to the key-value store.
type storeFlags struct {
	Store   []string      `help:"Addresses of the store, host:port." default:"127.0.0.1:2379" env:"AGATERAMP_STORE"`
	TLS     bool          `help:"Use TLS; without --store-ca, with the certificate authorities of the operating system." name:"store-tls"`
	CA      string        `help:"PEM file with the certificate authorities of the store; implies TLS." name:"store-ca" type:"path"`
	Cert    string        `help:"PEM file with the client certificate; implies TLS." name:"store-cert" type:"path"`
	Key     string        `help:"PEM file with the client key; required with --store-cert." name:"store-key" type:"path"`
	Timeout time.Duration `help:"Time limit for all store operations of the command, including the wait of config apply --wait." default:"30s"`
}

// open returns a client of the store and a context that ends after Timeout. The
// caller must call closeStore when done with both.
func (f *storeFlags) open() (ctx context.Context, s store.Store, closeStore func(), err error) {
	cfg := etcd.Config{Endpoints: f.Store, UserAgent: "agateramp-cli"}
	if cfg.TLS, err = f.tls(); err != nil {
		return nil, nil, nil, asUsageError(err)
	}
	client, err := etcd.New(cfg)
	if err != nil {
		return nil, nil, nil, asUsageError(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), f.Timeout)
	return ctx, client, func() {
		cancel()
		client.Close()
	}, nil
}

// tls returns the TLS configuration of the store client, or nil if the flags select plaintext.
func (f *storeFlags) tls() (c *tls.Config, err error) {
	if !f.TLS && f.CA == "" && f.Cert == "" {
		return nil, nil
	}
	c = &tls.Config{MinVersion: tls.VersionTLS12}
	if f.CA != "" {
		pem, err := os.ReadFile(f.CA)
		if err != nil {
			return nil, err
		}
		if c.RootCAs = x509.NewCertPool(); !c.RootCAs.AppendCertsFromPEM(pem) {
			return nil, errors.Errorf("%s holds no certificate", f.CA)
		}
	}
	if f.Cert != "" {
		certificate, err := tls.LoadX509KeyPair(f.Cert, f.Key)
		if err != nil {
			return nil, errors.WithMessage(err, "client certificate")
		}
		c.Certificates = []tls.Certificate{certificate}
	}
	return c, nil
}

// changeFlags are the flags that identify a change of the configuration.
type changeFlags struct {
	Reason   string `help:"Why the change is made; recorded in the audit trail."`
	ChangeID string `help:"Id of the change, the same for each retry; generated if empty."`
	Who      string `help:"Who makes the change; the login name if empty." env:"AGATERAMP_WHO"`
}

// newChange returns a change with the values of the flags and the name of this
// machine. It generates a missing change id, uses the login name if --who is empty,
// and prints the change id to standard error for a retry.
func (f *changeFlags) newChange(env *environment) (c config.Change, err error) {
	c = config.Change{ID: f.ChangeID, Who: f.Who, Reason: f.Reason}
	if c.ID == "" {
		c.ID = fmt.Sprintf("%s-%s", time.Now().UTC().Format("20060102t150405"), strings.ToLower(rand.Text()[:10]))
	}
	if c.Who == "" {
		if u, err := user.Current(); err == nil {
			c.Who = u.Username
		}
	}
	if c.Who == "" {
		return c, asUsageError(errors.New("--who is not set and the user has no name"))
	}
	if c.From, err = os.Hostname(); err != nil {
		return c, err
	}
	fmt.Fprintf(env.stderr, "agateramp: change id %s\n", c.ID)
	return c, nil
}

// asUsageError wraps err so that it matches errUsage; its message stays the same.
func asUsageError(err error) error { return &usageError{err} }

type usageError struct{ error }

func (e *usageError) Unwrap() error { return e.error }

func (e *usageError) Is(target error) bool { return target == errUsage }

// printResult prints the result of a change if err is nil. Otherwise it returns err: as
// a usage error if the change is invalid or reuses a change id, and with advice for a
// retry if it is unknown whether the change was stored.
func printResult(out io.Writer, result config.Result, err error) error {
	switch {
	case errors.Is(err, config.ErrInvalidChange), errors.Is(err, config.ErrChangeIDReused):
		return asUsageError(err)
	case errors.Is(err, config.ErrOutcomeUnknown):
		return errors.WithMessage(err, "run the command again with the same --change-id and --base")
	case err != nil:
		return err
	}
	switch {
	case result.Unchanged:
		_, err = fmt.Fprintf(out, "version %d already has this content\n", result.Version)
	case result.AlreadyApplied:
		_, err = fmt.Fprintf(out, "version %d was made by an earlier run of this change\n", result.Version)
	default:
		_, err = fmt.Fprintf(out, "version %d accepted\n", result.Version)
	}
	return err
}
