package trial

import (
	"io"
	"net/http"
	"strings"
)

// callAdmin sends a request to a balancer's admin address, and returns the status and the trimmed body of the response. It
// fails if there is no complete response within adminTimeout.
func callAdmin(admin, method, path, body string) (status int, text string, err error) {
	request, err := http.NewRequest(method, "http://"+admin+path, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	client := http.Client{Timeout: adminTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, 1<<20))
	return response.StatusCode, strings.TrimSpace(string(raw)), err
}
