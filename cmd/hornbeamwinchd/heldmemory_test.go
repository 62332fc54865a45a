package main

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// heldMemory is what a process holds at one moment, in bytes: its resident memory, and what the kernel
// holds for its sockets.
type heldMemory struct {
	resident int64
	// unread has been received and not read yet, on connections that wait to be accepted too. The platform
	// counts it toward the limit of the process.
	unread int64
	// unsent has been written and not acknowledged by the other side yet.
	unsent int64
}

// total returns the sum.
func (m heldMemory) total() int64 { return m.resident + m.unread + m.unsent }

// String implements fmt.Stringer.
func (m heldMemory) String() string {
	return fmt.Sprintf("%d MiB, of which %d resident, %d unread, %d unsent", m.total()>>20, m.resident>>20, m.unread>>20, m.unsent>>20)
}

// memoryWatch samples the memory of a process until it is ended.
type memoryWatch struct {
	pid   int
	ports []int
	done  chan struct{}
	ended sync.WaitGroup

	mu   sync.Mutex
	peak heldMemory
	err  error
}

// watchMemory begins to sample the memory of the daemon.
func (h *crowdHost) watchMemory() *memoryWatch {
	GinkgoHelper()
	w := &memoryWatch{
		pid: h.Command.Process.Pid, ports: []int{portOf(h.callerAddress), portOf(h.ready), portOf(h.peer), portOf(h.admin)},
		done: make(chan struct{}),
	}
	w.ended.Go(w.loop)
	return w
}

// expectHeldWithin checks that an ordinary request is answered beside the crowd, and that the daemon has stayed within
// its memory, in MiB, and its descriptors. It closes the connections of the crowd.
func (h *crowdHost) expectHeldWithin(w *memoryWatch, memoryMB, maxFDs int) {
	GinkgoHelper()
	defer func() {
		for _, nc := range h.conns {
			_ = nc.Close()
		}
	}()
	h.expectServed()
	peak := w.end()
	fmt.Fprintf(os.Stderr, "peak of %q: %v, %d descriptors\n", CurrentSpecReport().LeafNodeText, peak, h.peakFDs)
	Expect(h.ExitCode()).To(Equal(-1), "the daemon has ended; its output:\n%.4000s", h.output())
	Expect(peak.total()>>20).To(BeNumerically("<", memoryMB), "MiB of memory")
	Expect(h.peakFDs).To(BeNumerically("<=", maxFDs), "descriptors")
}

func (w *memoryWatch) loop() {
	const interval = 10 * time.Millisecond
	for {
		m, err := w.sample()
		w.mu.Lock()
		if w.err = err; err == nil && m.total() > w.peak.total() {
			w.peak = m
		}
		w.mu.Unlock()
		select {
		case <-w.done:
			return
		case <-time.After(interval):
		}
	}
}

// end returns the largest sample.
func (w *memoryWatch) end() heldMemory {
	GinkgoHelper()
	close(w.done)
	w.ended.Wait()
	Expect(w.err).NotTo(HaveOccurred())
	return w.peak
}

func (w *memoryWatch) sample() (heldMemory, error) {
	var m heldMemory
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", w.pid))
	if err != nil {
		return m, err
	}
	fields := strings.Fields(string(data))
	const residentField = 1
	if len(fields) <= residentField {
		return m, fmt.Errorf("statm has %d fields", len(fields))
	}
	pages, err := strconv.ParseInt(fields[residentField], 10, 64)
	if err != nil {
		return m, err
	}
	m.resident = pages * int64(os.Getpagesize())
	inodes, err := w.socketInodes()
	if err != nil {
		return m, err
	}
	for _, table := range []string{"tcp", "tcp6"} {
		if err := w.addQueues(&m, table, inodes); err != nil {
			return m, err
		}
	}
	return m, nil
}

// socketInodes returns the sockets of the process.
func (w *memoryWatch) socketInodes() (map[string]bool, error) {
	dir := fmt.Sprintf("/proc/%d/fd", w.pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	inodes := make(map[string]bool)
	for _, e := range entries {
		// A descriptor may have been closed since.
		target, _ := os.Readlink(dir + "/" + e.Name())
		if inode, ok := strings.CutPrefix(target, "socket:["); ok {
			inodes[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return inodes, nil
}

// addQueues adds the queues of the sockets in a table of the kernel that the process has, or that wait
// to be accepted on its ports.
func (w *memoryWatch) addQueues(m *heldMemory, table string, inodes map[string]bool) error {
	f, err := os.Open(fmt.Sprintf("/proc/%d/net/%s", w.pid, table))
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	const localField, stateField, queuesField, inodeField = 1, 3, 4, 9
	const listening = "0A"
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) <= inodeField || fields[stateField] == listening {
			// The head of the table. The queue of a listener is a number of connections.
			continue
		}
		waits := fields[inodeField] == "0" && w.listens(fields[localField])
		if !waits && !inodes[fields[inodeField]] {
			continue
		}
		sent, received, _ := strings.Cut(fields[queuesField], ":")
		for text, sum := range map[string]*int64{sent: &m.unsent, received: &m.unread} {
			n, err := strconv.ParseInt(text, 16, 64)
			if err != nil {
				return err
			}
			*sum += n
		}
	}
	return lines.Err()
}

// listens reports whether an address, as the kernel writes it, has one of the ports.
func (w *memoryWatch) listens(address string) bool {
	for _, port := range w.ports {
		if strings.HasSuffix(address, fmt.Sprintf(":%04X", port)) {
			return true
		}
	}
	return false
}
