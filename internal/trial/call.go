package trial

import (
	"io"
	"net/http"
	"strings"
)

// callAdmin makes an operators' call.
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
