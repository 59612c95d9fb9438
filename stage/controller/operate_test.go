package controller

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"

	"redwingstage.org/coord/encoder"
	"redwingstage.org/coord/runner"
)

// TestNotExecuted forwards a call to leaders that fail in different ways: only some have certainly not executed it.
func TestNotExecuted(t *testing.T) {
	refuse := func(code connect.Code) http.HandlerFunc {
		h := connect.NewUnaryHandler(pathOperate, func(context.Context, *connect.Request[opRequest]) (*connect.Response[opResponse], error) {
			return nil, connect.NewError(code, errNoLeader)
		}, encoder.ConnectOption())
		return h.ServeHTTP
	}
	tests := []struct {
		name  string
		serve http.HandlerFunc
		want  bool
	}{
		{"refused", refuse(connect.CodeUnavailable), true},
		{"leadership lost during the call", refuse(connect.CodeAborted), false},
		{"connection broken", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, false},
		{"no connection", nil, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			srv := httptest.NewUnstartedServer(tt.serve)
			srv.Config.Protocols = encoder.NewServer(nil).Protocols
			srv.Start()
			addr := srv.Listener.Addr().String()
			if tt.serve == nil {
				srv.Close()
			}
			defer srv.Close()
			st := runner.Status{ID: 1, Leader: 2, Members: []runner.Member{{ID: 2, Addr: addr}}}
			_, err := new(Controller).forward(context.Background(), st, opRequest{Op: opApply})
			qt.Assert(t, err, qt.IsNotNil)
			qt.Assert(t, notExecuted(err), qt.Equals, tt.want, qt.Commentf("%v", err))
		})
	}
	_, err := new(Controller).forward(context.Background(), runner.Status{Leader: 2}, opRequest{})
	qt.Assert(t, notExecuted(err), qt.IsTrue)
}
