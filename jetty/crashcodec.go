package jetty

import (
	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/signal"
	"hornbeamwinch.example/sluice"
)

func encodeCrashes(records []sluice.CrashRecord) []*signal.CrashRecord {
	var encoded []*signal.CrashRecord
	for _, r := range records {
		e := &signal.CrashRecord{
			Fingerprint: r.Fingerprint[:], Content: r.Content[:], AnyCaller: r.AnyCaller, Target: r.Target, Service: string(r.Service), Generation: r.Generation,
		}
		for _, c := range r.Crashes {
			e.Crashes = append(e.Crashes, &signal.Crash{
				Server: string(c.Instance.Server), Incarnation: int64(c.Instance.Incarnation), Version: string(c.Version),
				Alone: c.Alone, Caller: c.Caller[:],
			})
		}
		encoded = append(encoded, e)
	}
	return encoded
}

// decodeCrashes leaves out records without a fingerprint.
func decodeCrashes(encoded []*signal.CrashRecord) []sluice.CrashRecord {
	var records []sluice.CrashRecord
	for _, e := range encoded {
		r := sluice.CrashRecord{
			AnyCaller: e.GetAnyCaller(), Target: e.GetTarget(), Service: fairway.ServiceName(e.GetService()), Generation: e.GetGeneration(),
		}
		if !decodeFingerprint(e.GetFingerprint(), &r.Fingerprint) || !decodeFingerprint(e.GetContent(), &r.Content) {
			continue
		}
		for _, c := range e.GetCrashes() {
			crash := sluice.Crash{
				Instance: sluice.ServerInstance{Server: fairway.ServerID(c.GetServer()), Incarnation: fairway.Incarnation(c.GetIncarnation())},
				Version:  fairway.SoftwareVersion(c.GetVersion()), Alone: c.GetAlone(),
			}
			if decodeFingerprint(c.GetCaller(), &crash.Caller) {
				r.Crashes = append(r.Crashes, crash)
			}
		}
		records = append(records, r)
	}
	return records
}

// decodeFingerprint reports whether data is a fingerprint.
func decodeFingerprint(data []byte, f *sluice.Fingerprint) bool {
	return copy(f[:], data) == len(f) && len(data) == len(f)
}
