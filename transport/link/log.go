package link

import (
	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/state"
)

// Verbosity of what happens in the normal course of a fleet's life.
const verbose = 1

func logRefused(to state.NodeID, err error) {
	klog.ErrorS(err, "Message has no wire form", "peer", to)
}

func logBadAddress(id state.NodeID, err error) {
	klog.ErrorS(err, "Peer can't be dialled", "peer", id)
}

func logDown(id state.NodeID, reason Reason) {
	klog.V(verbose).InfoS("Peer is down", "peer", id, "reason", reason)
}

func logUp(id state.NodeID, dialled bool) {
	klog.V(verbose).InfoS("Link is up", "peer", id, "dialled", dialled)
}

func logDialFailed(id state.NodeID, addr string, err error) {
	klog.V(verbose).InfoS("Dial failed", "peer", id, "addr", addr, "err", err)
}

func logRejected(remote string, err error) {
	klog.V(verbose).InfoS("Incoming link refused", "remote", remote, "err", err)
}

func logMalformed(from state.NodeID, err error) {
	klog.V(verbose).InfoS("Message skipped", "peer", from, "err", err)
}

func logIdentity(id state.NodeID, err error) {
	klog.ErrorS(err, "Peer doesn't prove who it is", "peer", id)
}
