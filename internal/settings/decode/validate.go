package decode

import (
	"fmt"
	"net/netip"
	"reflect"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"
)

// addressTag is the validator tag for an IP address with a port.
const addressTag = "address"

// structValidator names fields by their yaml keys.
var structValidator = newStructValidator()

func newStructValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(yamlKey)
	err := v.RegisterValidation(addressTag, func(field validator.FieldLevel) bool {
		_, err := netip.ParseAddrPort(field.Field().String())
		return err == nil
	})
	if err != nil {
		panic(err)
	}
	return v
}

// validate reports the fields whose values violate their validator tags.
func (r *Report) validate(into any) {
	var failed validator.ValidationErrors
	if err := structValidator.Struct(into); !errors.As(err, &failed) {
		if err != nil {
			r.Add("", err.Error(), "")
		}
		return
	}
	for _, f := range failed {
		_, key, _ := strings.Cut(f.Namespace(), ".")
		r.Add(key, describeViolation(f), expectedByTag(f))
	}
}

// describeViolation returns the text for Problem.Found.
func describeViolation(f validator.FieldError) string {
	if strings.HasPrefix(f.Tag(), "required") {
		return "is missing"
	}
	return fmt.Sprintf("%q is not allowed", fmt.Sprint(f.Value()))
}

// expectedByTag describes the values that the violated tag allows.
func expectedByTag(f validator.FieldError) string {
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
		return "a string"
	}
	return expectedByType(f.Type())
}
