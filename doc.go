// Package primrosespar defines the interfaces and shared types of a scheduler
// for jobs on many accelerators, with capacity guarantees per client account.
//
// The package does no I/O. The implementations are in internal/AREA/PACKAGE.
// Those that make the decisions, the core, use no sockets, files, timers,
// random numbers or wall clock directly, so that tests can repeat every
// decision; they get what they need through the interfaces of this package.
//
// # Usage
//
// A host process has one implementation of each interface:
//
//	var table primrosespar.Table     // tabler.New(...) or keeper.New(...)
//	var workers primrosespar.Workers // commander.New(...) or executor.New(...)
//	rows, err := table.Get(ctx, primrosespar.ContractKey("bascule"))
//
// Errors that cross a package boundary have a Code, which CodeOf returns:
//
//	if primrosespar.CodeOf(err) == primrosespar.CodeConflict {
//		// read the row again and retry
//	}
package primrosespar
