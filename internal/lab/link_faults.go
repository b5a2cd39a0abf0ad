package lab

import (
	"context"
	"fmt"
	"strings"
)

// injectLinkFault injects a fault on the link of that name. A fault on the clients' link to a node opens a fault window
// of that node.
func (run *loadRun) injectLinkFault(ctx context.Context, fault Fault, name string, proxy *Proxy) {
	node := -1
	if number, ok := strings.CutPrefix(name, "client-node-"); ok {
		fmt.Sscanf(number, "%d", &node)
	}
	if node >= 0 {
		run.openFaultWindow(roleNode, node, fault.Kind)
	}
	undo := func(heal func()) {
		if fault.For.Duration > 0 {
			run.undoAfter(ctx, fault.For.Duration, func() { heal(); run.closeFaultWindow(roleNode, node) })
		}
	}
	switch fault.Kind {
	case faultPartition:
		proxy.Partition(true)
		undo(func() { proxy.Partition(false) })
	case faultDelay:
		proxy.Delay(fault.Delay.Duration)
		undo(func() { proxy.Delay(0) })
	case faultDrop:
		proxy.Drop(fault.Share)
		undo(func() { proxy.Drop(0) })
	case faultReset:
		proxy.Reset()
		run.closeFaultWindow(roleNode, node)
	}
}
