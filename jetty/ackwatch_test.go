package jetty

import (
	"context"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"
)

var _ = Describe("A watch of acknowledgements", func() {
	began := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	// hungAfter returns when a connection counts as hung whose state is that of stateAt, or
	// 0 if it does not within 10 s.
	hungAfter := func(stateAt func(at time.Duration) ackState) time.Duration {
		s := ackSilence{since: began}
		for at := ackPollInterval; at < 10*time.Second; at += ackPollInterval {
			if s.step(began.Add(at), stateAt(at)) {
				return at
			}
		}
		return 0
	}

	It("ends a connection whose data nobody acknowledges, as the kernel would", func() {
		Expect(hungAfter(func(at time.Duration) ackState {
			return ackState{awaiting: true, sinceAck: at + time.Second}
		})).To(Equal(userTimeout))
	})

	It("does not end one whose other side acknowledges probes of its closed window", func() {
		// A probe goes out each 1.6 s, and one of them is seen on its way.
		Expect(hungAfter(func(at time.Duration) ackState {
			const interval = 1600 * time.Millisecond
			return ackState{awaiting: at == 3*time.Second, sinceAck: at % interval}
		})).To(BeZero())
	})

	It("does not end one that acknowledges slowly", func() {
		Expect(hungAfter(func(at time.Duration) ackState {
			return ackState{awaiting: true, sinceAck: at % (3 * userTimeout / 4)}
		})).To(BeZero())
	})

	It("ends one whose other side is lost while its window is closed, from the next probe on", func() {
		const lostAt = 3 * time.Second
		Expect(hungAfter(func(at time.Duration) ackState {
			return ackState{awaiting: at > lostAt, sinceAck: max(at-lostAt, 0)}
		})).To(Equal(lostAt + userTimeout))
	})

	DescribeTable("waits for an acknowledgement", func(info unix.TCPInfo, awaiting bool) {
		Expect(ackStateOf(&info).awaiting).To(Equal(awaiting))
	},
		Entry("of data that was sent after the last one", unix.TCPInfo{Unacked: 1, Last_data_sent: 300, Last_ack_recv: 700}, true),
		Entry("not of data that the other side had no room for", unix.TCPInfo{Unacked: 1, Retransmits: 3, Last_data_sent: 700, Last_ack_recv: 700}, false),
		Entry("not of a single probe, which may come too soon after another for an answer", unix.TCPInfo{Probes: 1, Last_ack_recv: 1200}, false),
		Entry("of two probes in a row", unix.TCPInfo{Probes: 2, Last_ack_recv: 2000}, true),
		Entry("not without anything on its way", unix.TCPInfo{Last_data_sent: 300, Last_ack_recv: 700}, false),
	)

	It("stands in for the kernel's timeout only while a long body is sent", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		c, err := dial(context.Background(), dialTCP, l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		w := startAckWatch(c)
		Expect(socketOption(c.Conn, unix.TCP_USER_TIMEOUT)).To(BeZero())
		w.end()
		Expect(socketOption(c.Conn, unix.TCP_USER_TIMEOUT)).To(Equal(int(userTimeout.Milliseconds())))
	})
})
