package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/strictjson"
)

const (
	maxFileBytes           = 1 << 20
	anyRole      core.Role = ""
)

func load(path string, target any, role core.Role) error {
	info, err := os.Stat(path)
	if err == nil && info.Size() > maxFileBytes {
		return fault.New(fault.BadSettings, path+" is larger than 1 MiB", "name the settings file of this daemon")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return fault.Wrap(err, fault.BadSettings, "the settings file "+path+" cannot be read", "name a readable JSON file")
	}
	return parse(path, raw, target, role)
}

// Parse decodes raw JSON strictly and validates its values. All invalid values are reported in one error of kind
// BadSettings.
func Parse(raw []byte, target any) error { return parse("settings", raw, target, anyRole) }

func parse(name string, raw []byte, target any, role core.Role) error {
	if err := strictjson.Decode(raw, target); err != nil {
		var decodeErr *strictjson.Error
		if errors.As(err, &decodeErr) {
			decodeErr.Field = trimEmbeddedName(decodeErr.Field)
		}
		return fault.New(fault.BadSettings, name+": "+err.Error(), "correct the file; docs/operations/configuration.md lists the settings")
	}
	var problems []string
	var invalid validator.ValidationErrors
	if err := newValidator().Struct(target); errors.As(err, &invalid) {
		for _, field := range invalid {
			problems = append(problems, describeField(field))
		}
	} else if err != nil {
		return fault.Wrap(err, fault.Internal, "the settings cannot be checked", "report this")
	}
	problems = append(problems, checkRole(target, role)...)
	if len(problems) == 0 {
		return nil
	}
	cause := errors.New(strings.Join(problems, "\n"))
	return fault.Wrap(cause, fault.BadSettings, fmt.Sprintf("%s: %d fields are invalid", name, len(problems)), "correct these")
}

// checkRole reports an error if the role in the settings is not that of the program that reads them.
func checkRole(settings any, role core.Role) []string {
	var configured core.Role
	switch settings := settings.(type) {
	case *Entry:
		configured = settings.Host.Role
	case *Agent:
		configured = settings.Host.Role
	}
	if role == anyRole || configured == role || (configured != core.RoleEntry && configured != core.RoleAgent) {
		return nil
	}
	return []string{fmt.Sprintf("host.role: %q is not the role of lovage-%s; write %q or start lovage-%s", configured, role, role, configured)}
}

// describeField formats an invalid field on one line, with its JSON path and the remedy.
func describeField(field validator.FieldError) string {
	_, name, _ := strings.Cut(field.Namespace(), ".")
	name = trimEmbeddedName(name)
	switch field.Tag() {
	case "required":
		return name + ": it is missing; add it"
	case "ip_port":
		return fmt.Sprintf("%s: %q is not an IP address with a port; use one such as 10.0.0.1:7001, since host names are not resolved", name, field.Value())
	case "reachable":
		return fmt.Sprintf("%s: other hosts cannot connect to %q; use the IP address and port that they connect to, and listen_%s to listen on another address", name, field.Value(), lastPathSegment(name))
	case "oneof":
		return fmt.Sprintf("%s: %q is not allowed; use one of %s", name, fmt.Sprint(field.Value()), strings.ReplaceAll(field.Param(), " ", ", "))
	case "gte":
		return fmt.Sprintf("%s: %v is too small; use %s or more", name, field.Value(), field.Param())
	case "lte":
		return fmt.Sprintf("%s: %v is too large; use %s or less", name, field.Value(), field.Param())
	default:
		return fmt.Sprintf("%s: %v does not satisfy %s; correct it", name, field.Value(), field.Tag())
	}
}

// trimEmbeddedName removes the name of the embedded struct Daemon, which is not part of the JSON path.
func trimEmbeddedName(path string) string { return strings.TrimPrefix(path, "Daemon.") }

func lastPathSegment(name string) string { return name[strings.LastIndex(name, ".")+1:] }

func newValidator() *validator.Validate {
	validate := validator.New(validator.WithRequiredStructEnabled())
	_ = validate.RegisterValidation("ip_port", isIPPort) // fails only for an empty tag
	validate.RegisterStructValidation(checkReachable, core.Host{})
	validate.RegisterTagNameFunc(func(field reflect.StructField) string {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		return name
	})
	return validate
}

// isIPPort accepts an IP address with a port. Host names are rejected because the daemons do not resolve them.
func isIPPort(field validator.FieldLevel) bool {
	_, err := netip.ParseAddrPort(field.Field().String())
	return err == nil
}

// checkReachable rejects addresses of a host that other processes cannot connect to: an unspecified IP address or port 0.
func checkReachable(level validator.StructLevel) {
	host, ok := level.Current().Interface().(core.Host)
	if !ok {
		return
	}
	for _, address := range []struct{ value, name, field string }{
		{host.DataAddress, "data_address", "DataAddress"},
		{host.ControlAddress, "control_address", "ControlAddress"},
	} {
		parsed, err := netip.ParseAddrPort(address.value)
		if err == nil && (parsed.Addr().IsUnspecified() || parsed.Port() == 0) {
			level.ReportError(address.value, address.name, address.field, "reachable", "")
		}
	}
}
