package afstandin_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork/internal/afstandin"
)

func call(p *afstandin.Platform, method, path, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	p.Handler().ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w
}

// TestSwitches guards against faults and counts that differ between the process and the tests in-process.
func TestSwitches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := new(afstandin.Platform)
		const path = "/apis/arbutusfork.example/v1/customers"
		require.Equal(t, http.StatusOK, call(p, "POST", path, `{"metadata":{"name":"a"},"spec":{}}`).Code)
		require.Equal(t, http.StatusConflict, call(p, "POST", path, `{"metadata":{"name":"a"},"spec":{}}`).Code)
		require.Equal(t, http.StatusNotFound, call(p, "GET", path+"/b", "").Code)
		<-time.After(time.Second)
		require.JSONEq(t, `{"reads":1,"writes":2,"watches":0,"total":3,
			"kinds":{"GET customers":1,"POST customers":2}}`, call(p, "GET", "/counts", "").Body.String())

		require.Equal(t, http.StatusOK, call(p, "POST", "/faults", `{"lose":true,"slow":500}`).Code)
		before := time.Now()
		require.Panics(t, func() { call(p, "POST", path, `{"metadata":{"name":"b"},"spec":{}}`) })
		require.Equal(t, 500*time.Millisecond, time.Since(before))
		require.Equal(t, http.StatusOK, call(p, "POST", "/faults", `{"lose":false,"slow":0}`).Code)
		require.Equal(t, http.StatusOK, call(p, "GET", path+"/b", "").Code)
	})
}

// TestLaggingVMs guards against tests that see VMs come and go at once.
func TestLaggingVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &afstandin.Platform{VMListDelay: 10 * time.Second}
		const path = "/apis/arbutusfork.example/v1/vms"
		put := func(state string) {
			body := `{"metadata":{"name":"a"},"spec":{"state":"` + state + `"}}`
			require.Equal(t, http.StatusOK, call(p, "PUT", path+"/a", body).Code)
		}
		put("live")
		require.NotContains(t, call(p, "GET", path, "").Body.String(), "live")
		<-time.After(9 * time.Second)
		put("leaving")
		<-time.After(2 * time.Second)
		require.Contains(t, call(p, "GET", path, "").Body.String(), "live")
		<-time.After(8 * time.Second)
		require.Contains(t, call(p, "GET", path, "").Body.String(), "leaving")
	})
}
