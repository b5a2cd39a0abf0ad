package lab

import (
	"context"
	"fmt"
	"strings"
)

// injectLinkFault applies a fault to one link. A fault of a client's link opens a fault window of its node.
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
