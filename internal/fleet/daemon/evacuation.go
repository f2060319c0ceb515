package daemon

import (
	"context"

	"primrosespar.example/primrosespar"
)

var _ primrosespar.EvacuationService = (*Daemon)(nil)

// evacuationSource returns the source of the operators' requests that places are
// emptied, or a nil interface if there is none.
func (d *Daemon) evacuationSource() primrosespar.EvacuationSource {
	if d.registrar == nil {
		return nil
	}
	return d.registrar
}

// Evacuate implements primrosespar.EvacuationService.
func (d *Daemon) Evacuate(ctx context.Context, place primrosespar.Place) (primrosespar.Evacuation, error) {
	if err := d.checkEvacuations(); err != nil {
		return primrosespar.Evacuation{}, err
	}
	return d.registrar.Evacuate(ctx, place)
}

// Restore implements primrosespar.EvacuationService.
func (d *Daemon) Restore(ctx context.Context, place primrosespar.Place) error {
	if err := d.checkEvacuations(); err != nil {
		return err
	}
	return d.registrar.Restore(ctx, place)
}

// checkEvacuations returns nil if the holder reads requests.
func (d *Daemon) checkEvacuations() error {
	if d.settings.EvacuationBound <= 0 || d.registrar == nil {
		return primrosespar.Fail(primrosespar.CodeBadRequest, "the settings of this installation give no bound for evacuations, so places cannot be emptied")
	}
	return nil
}

// Evacuations returns the places that are emptied, as the holder of the fleet
// lease knows them. Other hosts return none.
func (d *Daemon) Evacuations() []primrosespar.EvacuationView {
	if term := d.term.Load(); term != nil {
		return term.Evacuations()
	}
	return nil
}
