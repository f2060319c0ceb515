// Package primrosespar holds the interfaces and the shared types of a
// scheduler for multi-accelerator jobs under client account guarantees.
//
// The package does no input or output. Implementations live below internal/,
// two levels deep: internal/AREA/PACKAGE. The decision core among them imports
// no sockets, files, timers, random source or wall clock; what it needs of
// those is passed in through the interfaces of this package.
//
// # Usage
//
// A host process is put together from one implementation per interface:
//
//	var table primrosespar.Table     // tabler.New(...) or keeper.New(...)
//	var workers primrosespar.Workers // commander.New(...) or a stand-in
//	rows, err := table.Get(ctx, primrosespar.ContractKey("bascule"))
//
// Errors that cross a module boundary carry a Code. CodeOf finds it:
//
//	if primrosespar.CodeOf(err) == primrosespar.CodeConflict {
//		// read again and rebase
//	}
package primrosespar
