package host

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pollenwheel/pollenwheel/node/settings"
)

// operatorAddress returns the address for operators of a test host: a port of the kernel's
// choice beside its address for callers.
func operatorAddress(callerAddress string) string {
	ip, _, _ := net.SplitHostPort(callerAddress)
	return net.JoinHostPort(ip, "0")
}

// get returns the body of an answer.
func get(t *testing.T, url string) string {
	t.Helper()
	resp, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("%s: status %d, error %v, body %s", url, resp.StatusCode, err, body)
	}
	return string(body)
}

// TestLocalAddressForOperators guards against a host on the users' platform whose state
// operators cannot see.
func TestLocalAddressForOperators(t *testing.T) {
	backend, _, _ := slowBackend(t)
	_, callerHost, url := startDeployment(t, backend.Listener.Addr().String(), 0)
	if status, _, err := sendRequest(url, "/quick"); err != nil || status != http.StatusOK {
		t.Fatalf("status %d, error %v", status, err)
	}
	local := "http://" + callerHost.listeners[1].listener.Addr().String()
	metrics := get(t, local+"/metrics")
	for _, want := range []string{
		`pollenwheel_decisions_total{event="answered"}`, `pollenwheel_servers_restricted{says="limit"} 0`, `pollenwheel_suspects{state="quarantined"} 0`,
	} {
		if !strings.Contains(metrics, want) {
			t.Errorf("metrics lack %q", want)
		}
	}
	for path, want := range map[string]string{"/notices": `"leader":"core"`, "/suspects": `{"suspects":[]}`, "/status": `"version":1`, "/hosts": `"name":"front"`} {
		if body := get(t, local+"/v1/admin"+path); !strings.Contains(body, want) {
			t.Errorf("%s: %s, want %s in it", path, body, want)
		}
	}
}

// TestLocalAddressIsLoopback guards against routes without a key that other machines can reach.
func TestLocalAddressIsLoopback(t *testing.T) {
	for _, address := range []string{"10.0.0.1:7381", ":7381", "0.0.0.0:7381", "localhost:7381"} {
		h := &RoutedHost{opts: RoutedHostOptions{OperatorListenAddress: address}}
		var refused *OperatorAddressError
		if err := h.listenForOperators(); !errors.As(err, &refused) {
			t.Errorf("%s: error %v, want an OperatorAddressError", address, err)
		}
	}
}

// TestLocalAddressInUse guards against a host that does not start because another process uses
// the address for operators.
func TestLocalAddressInUse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	s := settings.Settings{Host: "front", DataCentre: "waco", CallerAddress: freeAddress(t), PeerAddress: freeAddress(t)}
	h, err := NewRoutedHost(RoutedHostOptions{
		Settings: s, Protocol: testProtocol{}, OperatorListenAddress: l.Addr().String(), DepartureTimeout: time.Second, Logger: logrus.NewEntry(logger),
	})
	if err != nil {
		t.Fatal(err)
	}
	_ = h.peerListener.Close()
	h.peers.Close()
}
