package peers

import (
	"time"

	"github.com/plantainrun/plantainrun/internal/catalog"
	"github.com/plantainrun/plantainrun/internal/peers/peerspb"
	"github.com/plantainrun/plantainrun/internal/placement"
	"github.com/plantainrun/plantainrun/internal/quarantine"
)

func encodeJob(j placement.Job) *peerspb.Job {
	pb := &peerspb.Job{
		Id:          uint64(j.ID),
		Service:     j.Service,
		Weight:      float32(j.Weight),
		ObjectiveMs: int32(j.Objective.Milliseconds()),
		MaxPauseMs:  uint32(j.MaxEventGap.Milliseconds()),
		Read:        j.Prefilled,
		Late:        j.Late,
	}
	for _, s := range j.Shares {
		pb.Shares = append(pb.Shares, &peerspb.Share{
			Target: s.Target.ID,
			Born:   s.Target.StartUnixMilli,
			WorkUs: uint32(s.PrefillTime.Microseconds()),
			Tokens: uint32(s.Tokens),
			Writes: s.Decodes,
		})
	}
	return pb
}

func decodeJob(pb *peerspb.Job) placement.Job {
	j := placement.Job{
		ID:          placement.JobID(pb.GetId()),
		Service:     pb.GetService(),
		Weight:      float64(pb.GetWeight()),
		Objective:   time.Duration(pb.GetObjectiveMs()) * time.Millisecond,
		MaxEventGap: time.Duration(pb.GetMaxPauseMs()) * time.Millisecond,
		Prefilled:   pb.GetRead(),
		Late:        pb.GetLate(),
	}
	for _, s := range pb.GetShares() {
		j.Shares = append(j.Shares, placement.Share{
			Target:      catalog.TargetKey{ID: s.GetTarget(), StartUnixMilli: s.GetBorn()},
			PrefillTime: time.Duration(s.GetWorkUs()) * time.Microsecond,
			Tokens:      int(s.GetTokens()),
			Decodes:     s.GetWrites(),
		})
	}
	return j
}

func encodeRateLimit(r placement.TargetRateLimit) *peerspb.RateLimit {
	return &peerspb.RateLimit{
		Service: r.Service, Target: r.Target.ID, Born: r.Target.StartUnixMilli, Named: r.Limit.Named, PerSecond: r.Limit.PerSecond,
	}
}

func decodeRateLimit(pb *peerspb.RateLimit) placement.TargetRateLimit {
	return placement.TargetRateLimit{
		Service: pb.GetService(),
		Target:  catalog.TargetKey{ID: pb.GetTarget(), StartUnixMilli: pb.GetBorn()},
		Limit:   placement.RateLimit{Named: pb.GetNamed(), PerSecond: pb.GetPerSecond()},
	}
}

func encodeCrash(c quarantine.Crash) *peerspb.Crash {
	return &peerspb.Crash{Fingerprint: c.Request, Target: c.Target.ID, Born: c.Target.StartUnixMilli, Parts: c.Parts, AgeMs: uint32(c.Age.Milliseconds())}
}

func decodeCrash(pb *peerspb.Crash) quarantine.Crash {
	return quarantine.Crash{
		Request: pb.GetFingerprint(),
		Target:  catalog.TargetKey{ID: pb.GetTarget(), StartUnixMilli: pb.GetBorn()},
		Parts:   pb.GetParts(),
		Age:     time.Duration(pb.GetAgeMs()) * time.Millisecond,
	}
}

func encodeQuarantinedPart(e quarantine.Entry) *peerspb.QuarantinedPart {
	return &peerspb.QuarantinedPart{Part: e.Part, LeftMs: uint32(e.Left.Milliseconds()), PeriodMs: uint32(e.Period.Milliseconds())}
}

func decodeQuarantinedPart(pb *peerspb.QuarantinedPart) quarantine.Entry {
	return quarantine.Entry{
		Part:   pb.GetPart(),
		Left:   time.Duration(pb.GetLeftMs()) * time.Millisecond,
		Period: time.Duration(pb.GetPeriodMs()) * time.Millisecond,
	}
}

func encodeRefusedPrompt(p placement.RefusedPrompt) *peerspb.RefusedPrompt {
	return &peerspb.RefusedPrompt{
		Id: p.ID, Key: uint64(p.Key), Service: p.Service, WaitedMs: uint32(p.Waited.Milliseconds()), WaitMs: int32(p.Wait.Milliseconds()),
		ExpiresMs: uint32(p.Expires.Milliseconds()), WorkMs: uint32(p.Work.Milliseconds()), Promised: p.Promised,
	}
}

func decodeRefusedPrompt(pb *peerspb.RefusedPrompt) placement.RefusedPrompt {
	return placement.RefusedPrompt{
		ID:       pb.GetId(),
		Key:      placement.PromptKey(pb.GetKey()),
		Service:  pb.GetService(),
		Waited:   time.Duration(pb.GetWaitedMs()) * time.Millisecond,
		Wait:     time.Duration(pb.GetWaitMs()) * time.Millisecond,
		Expires:  time.Duration(pb.GetExpiresMs()) * time.Millisecond,
		Work:     time.Duration(pb.GetWorkMs()) * time.Millisecond,
		Promised: pb.GetPromised(),
	}
}
