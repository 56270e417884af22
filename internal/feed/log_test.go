package feed

import (
	"fmt"
	"testing"
	"time"
)

// testChange returns a change whose key repeats every ten sequence numbers.
func testChange(kind Kind, epoch, sequence uint64) Change {
	return Change{
		Kind:     kind,
		Position: Position{Epoch: epoch, Sequence: sequence},
		Key:      fmt.Appendf(nil, "key-%d", sequence%10),
		Value:    fmt.Appendf(nil, "%d", sequence),
	}
}

// filledLog returns a log with a window of 5 that holds changes 1 to 12, of epoch 2 from change 7 on.
func filledLog(latest bool) kindLog {
	log := newKindLog(KindConfig{Name: "test", Stateful: latest, Window: 5}, true)
	for sequence := uint64(1); sequence <= 12; sequence++ {
		epoch := uint64(1)
		if sequence >= 7 {
			epoch = 2
		}
		log.append(testChange(0, epoch, sequence), watermark{known: true, at: time.Duration(sequence)})
	}
	return log
}

func TestLogKeepsItsWindow(t *testing.T) {
	log := filledLog(false)
	if log.base != (Position{2, 7}) || log.head != (Position{2, 12}) || len(log.records) != 5 {
		t.Fatalf("base %s, head %s, %d records", log.base, log.head, len(log.records))
	}
	contained := map[Position]bool{
		{2, 7}: true, {2, 8}: true, {2, 12}: true, {2, 6}: false, {2, 13}: false, {1, 8}: false, {3, 9}: false, {}: false,
	}
	for position, wanted := range contained {
		if log.contains(position) != wanted {
			t.Errorf("contains(%s) = %t", position, !wanted)
		}
	}
	following := log.after(Position{2, 10})
	if len(following) != 2 || following[0].change.Position != (Position{2, 11}) {
		t.Errorf("after 2/10: %v", following)
	}
}

func TestFirstContainedAfter(t *testing.T) {
	log := filledLog(false)
	for from, wanted := range map[Position]Position{{}: {2, 7}, {1, 100}: {2, 7}, {2, 7}: {2, 8}, {2, 10}: {2, 11}} {
		if got := log.firstContainedAfter(from); got != wanted {
			t.Errorf("first contained after %s: %s, want %s", from, got, wanted)
		}
	}
}

func TestLatestStateIsOrderedByPosition(t *testing.T) {
	log := filledLog(true)
	var got []uint64
	for _, change := range log.latest.after(Position{1, 4}) {
		got = append(got, change.Position.Sequence)
	}
	// Changes 11 and 12 have superseded changes 1 and 2.
	if wanted := "[5 6 7 8 9 10 11 12]"; fmt.Sprint(got) != wanted {
		t.Errorf("latest after 1/4: %v, want %s", got, wanted)
	}
	if count := len(log.latest.after(Position{})); count != 10 {
		t.Errorf("%d keys, want 10", count)
	}
}

func TestRetainedChangesRestoreTheLog(t *testing.T) {
	for _, latest := range []bool{false, true} {
		log := filledLog(latest)
		again := newKindLog(log.config, true)
		for _, change := range log.retained() {
			again.load(change)
		}
		if again.base != log.base || again.head != log.head || len(again.records) != len(log.records) {
			t.Errorf("latest %t: base %s, head %s, %d records; was %s, %s, %d", latest, again.base, again.head,
				len(again.records), log.base, log.head, len(log.records))
		}
		if got, wanted := len(again.latest.byKey), len(log.latest.byKey); got != wanted {
			t.Errorf("latest %t: %d keys, want %d", latest, got, wanted)
		}
		if age := again.records[0].watermarkBefore.age(0); age != AgeUnknown {
			t.Errorf("latest %t: a restored change has age %s", latest, age)
		}
	}
}

func TestSubscriberLogStoresOnlyThePosition(t *testing.T) {
	log := newKindLog(KindConfig{Stateful: true, Window: 5}, false)
	log.append(testChange(0, 1, 1), watermark{})
	log.applySnapshot([]Change{testChange(0, 1, 2)}, Position{1, 3})
	if log.head != (Position{1, 3}) || len(log.records) > 0 || len(log.latest.byKey) > 0 {
		t.Errorf("head %s, %d records, %d keys", log.head, len(log.records), len(log.latest.byKey))
	}
}
