package jetty

import (
	"bytes"
	"context"
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/ledger"
)

var _ = Describe("The usage of a host", func() {
	It("says for each connection why no kept one was used", func() {
		u := newUpstream(3, nil)
		s := newScriptedServer()
		e := fairway.Endpoint{ID: "s", Service: "gauges", Address: s.listener.Addr().String()}
		get := func() (*connection, *pool) {
			GinkgoHelper()
			c, p, err := u.get(context.Background(), e, getOptions{maxIdleFraction: 1})
			Expect(err).NotTo(HaveOccurred())
			return c, p
		}
		expectOpened := func(reason openReason) {
			GinkgoHelper()
			_, opened := u.count()
			Expect(opened).To(Equal(map[opening]int64{{service: "gauges", reason: reason}: 1}))
		}
		c, p := get()
		expectOpened(openFirst)
		second, _ := get()
		expectOpened(openBusy)
		u.put(p, second)
		u.put(p, c)
		for _, idle := range p.idle {
			idle.idleSince = time.Now().Add(-time.Hour)
		}
		c, p = get()
		expectOpened(openIdle)
		u.discard(p, c)
		c, p = get()
		expectOpened(openDropped)
		u.put(p, c)
		_ = c.Conn.Close()
		c, p = get()
		expectOpened(openClosed)
		u.discard(p, c)
		Expect(u.connect(context.Background(), e, nil)).To(Succeed())
		expectOpened(openProbe)
	})

	It("counts the calls to the store by role, kind and result, and each once", func() {
		u := newUsage()
		failure := storeResult(&ledger.Error{Op: "watch", Kind: ledger.KindUnavailable})
		for _, c := range []storeCall{
			{op: "watch", result: storeResult(nil), role: storeRoleFeeder},
			{op: "watch", result: failure, role: storeRoleFed},
			{op: "watch", result: failure, role: storeRoleFed},
			{op: "get", result: storeResult(errors.New("other")), role: storeRoleAlone},
		} {
			u.addStoreCall(c)
		}
		u.addOpenings(map[opening]int64{{service: "gauges", reason: openIdle}: 2})
		u.addOpenings(map[opening]int64{{service: "gauges", reason: openIdle}: 1})
		var b bytes.Buffer
		l := newLogs(&b, &Settings{Host: "h"})
		l.hostUsage(u.take())
		l.close()
		Expect(b.String()).To(ContainSubstring(
			`"store_calls":["alone get failed 1","fed watch unavailable 2","feeder watch ok 1"],"connections_opened":["gauges idle 3"]`))
		calls, openings := u.take()
		Expect(calls).To(BeEmpty())
		Expect(openings).To(BeEmpty())
	})
})
