package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/testkit/overload"
)

const benchTokens = 500

// Guards against a large workspace that crowds out the small ones.
func TestSmallWorkspacesKeepTheirShare(t *testing.T) {
	if share := overload.MinFairShareAnswered(&Limiter{}); share < 0.95 {
		t.Errorf("a small workspace got %.3f of its fair share, want at least 0.95", share)
	}
}

// Guards against an overload in which responses are late because too few requests
// are refused.
func TestGoodputHoldsAtTwiceTheCapacity(t *testing.T) {
	full, double := overload.Goodput(&Limiter{}, 1), overload.Goodput(&Limiter{}, 2)
	if float64(double) < 0.95*float64(full) {
		t.Errorf("goodput at 200%% is %d, want at least 95%% of the %d at 100%%", double, full)
	}
}

func BenchmarkAdmission(b *testing.B) {
	for name, limiter := range map[string]func() mulberryspool.Admission{
		"limiter":   func() mulberryspool.Admission { return &Limiter{} },
		"unlimited": func() mulberryspool.Admission { return nil },
	} {
		b.Run("fairness/"+name, func(b *testing.B) {
			for range b.N {
				b.ReportMetric(overload.MinFairShareAnswered(limiter()), "lowest-share")
			}
		})
		b.Run("goodput/"+name, func(b *testing.B) {
			for range b.N {
				b.ReportMetric(float64(overload.Goodput(limiter(), 2))/float64(overload.Goodput(limiter(), 1)), "goodput-200/100")
			}
		})
	}
	for _, workspaces := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("offer/workspaces=%d", workspaces), func(b *testing.B) {
			l := &Limiter{}
			l.SetCapacity(workspaces*benchTokens/2, 1e6)
			names := make([]string, workspaces)
			for i := range names {
				names[i] = fmt.Sprint(i)
			}
			now := time.Unix(0, 0)
			b.ReportAllocs()
			for i := range b.N {
				id := mulberryspool.RequestID(names[i%workspaces])
				l.Release(id, now)
				l.Next(now)
				l.Offer(mulberryspool.AdmissionRequest{ID: id, Workspace: string(id), Tokens: benchTokens, Deadline: now.Add(time.Hour)}, now)
			}
		})
	}
}
