package afhead

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

// soundAnswers are answers that HTTP/1.1 allows, with the body "ok".
var soundAnswers = map[string]string{
	"length":                  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"no length":               "HTTP/1.1 200 OK\r\n\r\nok",
	"no text of the status":   "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok",
	"odd text of the status":  "HTTP/1.1 200 a \xe4 000\r\nContent-Length: 2\r\n\r\nok",
	"line feeds":              "HTTP/1.1 200 OK\nContent-Length: 2\n\nok",
	"interim":                 "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"interim with line feeds": "HTTP/1.1 100 Continue\n\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"version 1.0":             "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"version 1.7":             "HTTP/1.7 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"lowest status":           "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"highest status":          "HTTP/1.1 599 Odd\r\nContent-Length: 2\r\n\r\nok",
	"fields":                  "HTTP/1.1 200 OK\r\nX-Empty:\r\nX-Blank:  \t \r\nX-Colon: a : b\r\n!#$%&'*+-.^_`|~09azAZ: 1\r\nContent-Length: 2\r\n\r\nok",
}

// readAnswer reads the first answer that is not an interim one.
func readAnswer(r io.Reader) (body string, err error) {
	b := bufio.NewReader(r)
	for {
		resp, err := http.ReadResponse(b, nil)
		if err != nil {
			return "", err
		}
		if resp.StatusCode >= http.StatusOK {
			body, err := io.ReadAll(resp.Body)
			return string(body), err
		}
	}
}

// requireMalformed requires that the first answer fails because its head is malformed.
func requireMalformed(t *testing.T, kind ErrorKind, answer string) {
	t.Helper()
	readInParts(answer, func(r io.Reader) {
		reader := &Reader{Reader: r}
		body, err := readAnswer(reader)
		require.Error(t, err, "%q has the body %q", answer, body)
		_, err = reader.Read(make([]byte, 1)) // The parser may have found another error in the bytes before.
		var malformed *Error
		require.ErrorAs(t, err, &malformed, "%q", answer)
		require.Equal(t, kind, malformed.Kind, "%q", answer)
	})
}

// readInParts calls fn with readers that return the text in one part, in two parts of each length, and byte by byte.
func readInParts(text string, fn func(r io.Reader)) {
	for n := range len(text) {
		fn(io.MultiReader(strings.NewReader(text[:n]), strings.NewReader(text[n:])))
	}
	fn(iotest.OneByteReader(strings.NewReader(text)))
}

// Guards against sound answers that are refused or changed, in whichever parts they arrive.
func TestSoundAnswersPass(t *testing.T) {
	for name, answer := range soundAnswers {
		readInParts(answer, func(r io.Reader) {
			reader := &Reader{Reader: r}
			body, err := readAnswer(reader)
			require.NoError(t, err, name)
			require.Equal(t, "ok", body, name)
			require.Equal(t, name == "version 1.0", reader.IsOldVersion(), name)
		})
	}
}

// Guards against an answer with a malformed status line of which a part looks like an answer, in whichever parts it arrives.
func TestMalformedStatusLinesFail(t *testing.T) {
	const rest = "\r\nContent-Length: 2\r\n\r\nok"
	for line, kind := range map[string]ErrorKind{
		"HTTP/1.1 000 OK": StatusCode, "HTTP/1.1 099 OK": StatusCode, "HTTP/1.1 600 Odd": StatusCode, "HTTP/1.1 999": StatusCode, "HTTP/1.1 101 Odd": StatusCode,
		"HTTP/1.1 +99 OK": StatusLine, "HTTP/1.1 -00 OK": StatusLine, "HTTP/1.1 20 OK": StatusLine, "HTTP/1.1 2000 OK": StatusLine,
		"HTTP/1.1  200 OK": StatusLine, "HTTP/1.1\t200 OK": StatusLine, "HTTP/2.0 200 OK": StatusLine, "HTTP/0.9 200 OK": StatusLine,
		"HTTP/1.10 200 OK": StatusLine, "http/1.1 200 OK": StatusLine, " HTTP/1.1 200 OK": StatusLine, "200 OK": StatusLine, "": StatusLine,
	} {
		for _, answer := range []string{line + rest, "HTTP/1.1 100 Continue\r\n\r\n" + line + rest, line + "\r\n\r\nHTTP/1.1 200 OK" + rest} {
			requireMalformed(t, kind, answer)
		}
	}
}

// Guards against an answer with a malformed line in its head of which a part looks like an answer, in whichever parts it arrives.
func TestMalformedFieldLinesFail(t *testing.T) {
	const status, rest = "HTTP/1.1 200 OK\r\nX-A: 1\r\n", "\r\nContent-Length: 2\r\n\r\nok"
	for line, kind := range map[string]ErrorKind{
		"X B: 1": FieldName, "X-B : 1": FieldName, " X-B: 1": FieldName, "\tX-B: 1": FieldName, "X-B\t: 1": FieldName, "X\x00B: 1": FieldName,
		"X\x1fB: 1": FieldName, "X\x7fB: 1": FieldName, "X\xffB: 1": FieldName, "X\rB: 1": FieldName, "\rX-B: 1": FieldName, "X\nB: 1": FieldName,
		"X(B: 1": FieldName, "X\"B: 1": FieldName, "X/B: 1": FieldName, ": 1": FieldName, "X-B": FieldName, "\r:": FieldName, "\r\r": FieldName,
		"\nX-B: 1": LineEnd, "X-B: 1\nX-C: 1": LineEnd, "X-B: 1\n": LineEnd,
	} {
		for _, answer := range []string{
			status + line + rest, "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\n" + status + rest[2:], "HTTP/1.1 100 Continue\r\n\r\n" + status + line + rest,
		} {
			requireMalformed(t, kind, answer)
		}
	}
}

// Guards against a byte in a name that leaves the head readable, at each place of the names that a gateway uses.
func TestOddBytesInNamesFail(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n" +
		"X-Request-Id: r1\r\nRetry-After: 1\r\n\r\n0\r\n\r\n"
	isInName := true
	for i := len("HTTP/1.1 200 OK\r\n"); i < strings.Index(answer, "\r\n\r\n"); i++ {
		if answer[i-1] == '\n' {
			isInName = true
		}
		for c := range 256 {
			if !isInName || isTokenByte(byte(c)) || c == ':' {
				continue
			}
			damaged := answer[:i] + string([]byte{byte(c)}) + answer[i:]
			_, err := readAnswer(&Reader{Reader: strings.NewReader(damaged)})
			require.Error(t, err, "%q", damaged)
		}
		isInName = isInName && answer[i] != ':'
	}
}

// Guards against a line feed in a name that ends a head with other line ends early.
func TestLineEndsDoNotMix(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 200 OK\nContent-Length: 2\n\r\nok", "HTTP/1.1 200 OK\nContent-Length: 2\r\n\nok", "HTTP/1.1 200 OK\r\nContent-Length: 2\n\r\nok",
		"HTTP/1.1 200 OK\n\r\nok", "HTTP/1.1 200 OK\r\n\nok",
	} {
		requireMalformed(t, LineEnd, answer)
	}
}

// Guards against an error that shows a part of a line, which says less than the line.
func TestErrorsNameTheMalformedPart(t *testing.T) {
	for answer, want := range map[string]string{
		"HTTP/1.1 000 OK\r\nX-A: 1\r\n\r\n":                       `read head: invalid status code "HTTP/1.1 000"`,
		"HTTP/2.0 200 OK\r\nX-A: 1\r\n\r\n":                       `read head: malformed status line "HTTP/2"`,
		"HTTP/1.1 200 OK\r\nX-A: 1\r\nX Odd: 1\r\n\r\n":           `read head: malformed field name "X "`,
		"HTTP/1.1 200 OK\r\nX-A: 1\r\n Content-Length: 1\r\n\r\n": `read head: malformed field name " "`,
		"HTTP/1.1 200 OK\r\nX-A: 1\n\r\n":                         `read head: malformed end of a line "X-A: 1\n"`,
		"HTTP/1.1 200 OK\r\n" + strings.Repeat("x", 100) + " : 1": `read head: malformed field name "` + strings.Repeat("x", maxShownBytes) + `"`,
	} {
		_, err := readAnswer(&Reader{Reader: strings.NewReader(answer)})
		require.EqualError(t, err, want)
	}
}

// Guards against a transport that sends a request again because the first byte of an answer is malformed.
func TestMalformedFirstByteIsRead(t *testing.T) {
	reader := &Reader{Reader: strings.NewReader("\nHTTP/1.1 200 OK\r\n\r\n")}
	n, err := reader.Read(make([]byte, 100))
	require.NoError(t, err)
	require.Equal(t, 1, n)
	_, err = reader.Read(make([]byte, 100))
	require.EqualError(t, err, `read head: malformed status line "\n"`)
}

// FuzzReader guards against a head that passes although its status or the name of a field is malformed, and against bytes that change on the
// way.
func FuzzReader(f *testing.F) {
	for _, answer := range soundAnswers {
		f.Add([]byte(answer), 1)
	}
	f.Add([]byte("HTTP/1.1 102 Processing\r\nX Odd: 1\r\n\r\nHTTP/1.1 000 OK\r\n\r\n"), 3)
	f.Fuzz(func(t *testing.T, answer []byte, partBytes int) {
		partBytes = min(max(partBytes, 1), len(answer)+1)
		parts := iotest.DataErrReader(strings.NewReader(string(answer)))
		read, err := io.ReadAll(&partReader{reader: &Reader{Reader: parts}, bytes: partBytes})
		require.LessOrEqual(t, len(read), len(answer))
		for i, c := range read {
			require.True(t, c == answer[i] || c == '1' && answer[i] == '0', "byte %d", i)
		}
		if err == nil {
			require.Len(t, read, len(answer))
		}
		b := bufio.NewReader(&Reader{Reader: strings.NewReader(string(answer))})
		for {
			resp, err := http.ReadResponse(b, nil)
			if err != nil {
				return
			}
			require.NoError(t, checkHead(resp))
			require.Equal(t, 1, resp.ProtoMajor)
			if resp.StatusCode >= http.StatusOK {
				return
			}
		}
	})
}

// partReader reads at most a number of bytes at a time.
type partReader struct {
	reader io.Reader
	bytes  int
}

func (r *partReader) Read(b []byte) (int, error) { return r.reader.Read(b[:min(len(b), r.bytes)]) }
