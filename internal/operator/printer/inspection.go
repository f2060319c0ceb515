package printer

import (
	"io"

	"primrosespar.example/primrosespar"
)

// Inspection is the result of checking a configuration.
type Inspection struct {
	Errors   int                    `json:"errors"`
	Warnings int                    `json:"warnings"`
	Findings []primrosespar.Finding `json:"findings"`
}

// NewInspection counts the findings.
func NewInspection(findings []primrosespar.Finding) Inspection {
	a := Inspection{Findings: append([]primrosespar.Finding{}, findings...)}
	for _, f := range findings {
		switch f.Severity {
		case primrosespar.SeverityError:
			a.Errors++
		case primrosespar.SeverityWarning:
			a.Warnings++
		default:
		}
	}
	return a
}

// Inspection writes the result of checking a configuration.
func (p *Printer) Inspection(a Inspection) error {
	return p.print(a, func(w io.Writer) {
		if len(a.Findings) == 0 {
			writeRow(w, "ok")
			return
		}
		writeRow(w, "SEVERITY", "KIND", "ENTRY", "FINDING")
		for _, f := range a.Findings {
			writeRow(w, f.Severity, f.Kind, f.Entry, f.Text)
		}
	})
}
