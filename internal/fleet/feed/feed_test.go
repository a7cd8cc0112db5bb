package feed

import (
	"fmt"
	"slices"
	"testing"
)

func change(name string, position Position) Change {
	return NewChange(name, position, []byte(fmt.Sprintf("%s@%d", name, position.Revision())))
}

// summary prints changes in a short form.
func summary(changes []Change) string {
	var out []string
	for _, c := range changes {
		text := fmt.Sprintf("%s@%d", c.Name(), c.Position().Revision())
		if c.Removed() {
			text = "-" + text
		}
		out = append(out, text)
	}
	return fmt.Sprint(out)
}

// Guards against changes that are lost or repeated out of order on their way through a VM
// that passes them on.
func TestLogPassesChangesOn(t *testing.T) {
	l := NewLog()
	l.Replace(10, []Change{change("a", 4), change("b", 7)})
	l.Append(10, 13, []Change{change("a", 12), NewRemoval("b", 13)})
	l.Append(13, 20, nil)
	l.Append(20, 25, []Change{change("b", 22)})
	for _, c := range []struct {
		after Position
		want  string
		upto  Position
		ok    bool
	}{
		{9, "[]", 0, false}, // Before the first listing: what was removed until then is unknown.
		{10, "[a@12 -b@13 b@22]", 25, true},
		{12, "[-b@13 b@22]", 25, true}, // In the middle of a response of the platform.
		{13, "[b@22]", 25, true},
		{25, "[]", 25, true},
		{30, "[]", 30, true}, // The other VM knows more.
	} {
		got, upto, ok := l.Since(c.after)
		if summary(got) != c.want || upto != c.upto || ok != c.ok {
			t.Errorf("since %d: %s up to %d, %v; want %s up to %d, %v", c.after, summary(got), upto, ok, c.want, c.upto, c.ok)
		}
	}
}

// Guards against a VM that takes over changes although it lacks those before them, and
// against changes that are taken in twice.
func TestLogTakesOnlyWhatContinues(t *testing.T) {
	l := NewLog()
	l.Replace(10, []Change{change("a", 4)})
	if _, ok := l.Append(11, 15, []Change{change("a", 14)}); ok {
		t.Error("changes after 11 were taken in at revision 10")
	}
	if got, ok := l.Append(8, 12, []Change{change("a", 9), change("b", 12)}); !ok || summary(got) != "[a@9 b@12]" {
		t.Errorf("changes that overlap: %s, %v", summary(got), ok)
	}
	if got, ok := l.Append(8, 12, []Change{change("b", 12)}); !ok || len(got) != 0 {
		t.Errorf("changes that are known: %s, %v", summary(got), ok)
	}
	if _, ok := l.Replace(11, nil); ok {
		t.Error("a listing behind the known revision was taken in")
	}
}

// Guards against objects that stay known after they were removed while the platform
// dropped its history.
func TestListingAfterLostHistory(t *testing.T) {
	l := NewLog()
	l.Replace(10, []Change{change("a", 4), change("b", 5), change("c", 6)})
	got, ok := l.Replace(30, []Change{change("a", 4), change("c", 28), change("d", 29)})
	slices.SortFunc(got, func(a, b Change) int { return int(a.Name()[0]) - int(b.Name()[0]) })
	if !ok || summary(got) != "[-b@30 c@28 d@29]" {
		t.Errorf("changes of the listing: %s, %v", summary(got), ok)
	}
}

// Guards against a VM that loses an object which was removed and created again, as the VM that
// it pulls changes from has seen both at once.
func TestCreatedAgainInOneResponse(t *testing.T) {
	l := NewLog()
	l.Replace(10, []Change{change("a", 4)})
	l.Append(10, 13, []Change{NewRemoval("a", 11), change("a", 12), change("b", 13)})
	if got, _, ok := l.Since(12); !ok || summary(got) != "[b@13]" {
		t.Errorf("since 12: %s, %v", summary(got), ok)
	}
	if got, _, ok := l.Since(11); !ok || summary(got) != "[-a@11 a@12 b@13]" {
		t.Errorf("since 11: %s, %v", summary(got), ok)
	}
}

// Guards against a removal that no other VM hears of, because the platform states the
// revision of the object in place of that of its removal.
func TestRemovalRaisesTheNewestRevision(t *testing.T) {
	l := NewLog()
	l.Replace(10, []Change{change("a", 9)})
	l.Append(10, 14, []Change{NewRemoval("a", 9)})
	if got := l.Newest(); got <= 9 {
		t.Errorf("newest revision %d after the removal", got)
	}
}

// Guards against a VM that never gets what it lacks, because the history of the others
// begins later than what it knows.
func TestReplyWithoutHistory(t *testing.T) {
	l := NewLog()
	l.Replace(10, []Change{change("a", 4)})
	for i := Position(11); i < 11+2*maxHistoryChanges; i++ {
		l.Append(i-1, i, []Change{change("a", i)})
	}
	reply := l.Reply(10, true)
	changes, err := unpack(reply.GetChanges())
	if err != nil || !reply.GetComplete() || Position(reply.GetUpto()) != l.Known() || len(changes) != 1 {
		t.Errorf("reply beyond the history: complete %v up to %d with %d changes, %v", reply.GetComplete(), reply.GetUpto(), len(changes), err)
	}
	if reply := l.Reply(10, false); reply.GetUpto() != 0 || len(reply.GetChanges()) != 0 {
		t.Errorf("reply to a VM that reaches the platform: up to %d with %d bytes", reply.GetUpto(), len(reply.GetChanges()))
	}
	reply = l.Reply(l.Known()-3, false)
	if changes, err = unpack(reply.GetChanges()); err != nil || reply.GetComplete() || len(changes) != 3 {
		t.Errorf("reply within the history: complete %v with %d changes, %v", reply.GetComplete(), len(changes), err)
	}
	if l.changes > maxHistoryChanges || l.bytes > maxHistoryBytes {
		t.Errorf("history of %d changes and %d bytes", l.changes, l.bytes)
	}
	if reply := NewLog().Reply(0, true); reply.GetUpto() != 0 {
		t.Errorf("a VM without a listing answers up to %d", reply.GetUpto())
	}
}

// Guards against a reply that takes more memory than its size tells, and against broken
// ones that are taken in.
func TestUnpackLimits(t *testing.T) {
	bomb, err := pack([]Change{NewChange("a", 1, make([]byte, maxUnpackedBytes+1))})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := unpack(bomb); err == nil {
		t.Errorf("%d bytes were unpacked to more than %d", len(bomb), maxUnpackedBytes)
	}
	if _, err := unpack([]byte("no stream")); err == nil {
		t.Error("broken bytes were unpacked")
	}
	whole, err := pack([]Change{change("a", 5), NewRemoval("b", 6)})
	if err != nil {
		t.Fatal(err)
	}
	if got, err := unpack(whole); err != nil || summary(got) != "[a@5 -b@6]" || string(got[0].Data()) != "a@5" {
		t.Errorf("changes %s, %v", summary(got), err)
	}
	if _, err := unpack(whole[:len(whole)-3]); err == nil {
		t.Error("a reply that breaks off was unpacked")
	}
}
