package decode

import (
	"fmt"
	"net/netip"
	"reflect"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"
)

// addressTag checks an IP address with a port.
const addressTag = "address"

var checker = newChecker()

func newChecker() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(yamlName)
	err := v.RegisterValidation(addressTag, func(field validator.FieldLevel) bool {
		_, err := netip.ParseAddrPort(field.Field().String())
		return err == nil
	})
	if err != nil {
		panic(err)
	}
	return v
}

// validate reports the fields that break their validator tags.
func (r *Report) validate(into any) {
	var failed validator.ValidationErrors
	if err := checker.Struct(into); !errors.As(err, &failed) {
		if err != nil {
			r.Add("", err.Error(), "")
		}
		return
	}
	for _, f := range failed {
		_, key, _ := strings.Cut(f.Namespace(), ".")
		r.Add(key, found(f), tagExpectation(f))
	}
}

func found(f validator.FieldError) string {
	if strings.HasPrefix(f.Tag(), "required") {
		return "is missing"
	}
	return fmt.Sprintf("%q is not allowed", fmt.Sprint(f.Value()))
}

func tagExpectation(f validator.FieldError) string {
	switch f.Tag() {
	case "oneof":
		return "one of " + strings.Join(strings.Fields(f.Param()), ", ")
	case "gte", "min":
		return "at least " + f.Param()
	case "lte", "max":
		return "at most " + f.Param()
	case "gt":
		return "more than " + f.Param()
	case "lt":
		return "less than " + f.Param()
	case addressTag:
		return "an IP address and a port such as 127.0.0.1:7000"
	case "http_url", "url":
		return "a URL such as http://127.0.0.1:7000"
	}
	if f.Kind() == reflect.String {
		return "text"
	}
	return expectation(f.Type())
}
