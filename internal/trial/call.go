package trial

import (
	"io"
	"net/http"
	"strings"
)

// call makes an operators' call.
func call(admin, method, path, body string) (status int, text string, err error) {
	r, err := http.NewRequest(method, "http://"+admin+path, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	client := http.Client{Timeout: callMost, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer answer.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(answer.Body, 1<<20))
	return answer.StatusCode, strings.TrimSpace(string(raw)), err
}
