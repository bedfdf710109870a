package afsoak

import (
	"bufio"
	"bytes"
	"net/http"
	"time"

	"arbutusfork.example/arbutusfork/internal/afstandin/afplatform"
)

const (
	// minUploadBytes is the smallest body of a request that ResetUploads answers early: more than a connection holds unread.
	minUploadBytes = maxBodyBytes / 4
	// minResetTime and maxResetTime bound how long an endpoint resets uploads.
	minResetTime, maxResetTime = time.Second, 4 * time.Second
)

// resetUploads lets a plain endpoint answer requests with large bodies early and reset their connections.
func (s *Soak) resetUploads() {
	live := s.fleet.liveEndpoints("app")
	e := live[s.resetRandom.IntN(len(live))]
	d := minResetTime + time.Duration(s.resetRandom.Int64N(int64(maxResetTime-minResetTime)))
	s.logEvent("endpoint %s resets uploads", e.ID)
	s.beginProxyFault(e, ResetUploads)
	s.endLater(d, func() { s.endProxyFault(e) })
}

// earlyPart returns the head and a part of an answer without a length if the bytes begin a request with a large body, or nil.
func earlyPart(request []byte) []byte {
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(request)))
	if err != nil || r.ContentLength < minUploadBytes {
		return nil
	}
	return afplatform.EncodeWithoutLength(r, "don")
}
