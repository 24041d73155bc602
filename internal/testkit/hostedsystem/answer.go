package hostedsystem

import (
	"bufio"
	"io"
	"net/http"
)

// ReadAnswer reads a whole answer and reports whether the connection ends with it.
func ReadAnswer(answers *bufio.Reader) (status int, closes bool, err error) {
	response, err := http.ReadResponse(answers, nil)
	for err == nil && response.StatusCode == http.StatusContinue {
		response, err = http.ReadResponse(answers, nil)
	}
	if err != nil {
		return 0, true, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Close, err
}
