package slottable

import "slices"

// heldImage is an image and where its list of holders has the row.
type heldImage struct {
	image int32
	at    micros
}

// indexImages keeps the lists of the rows that have an image, or will have it, by the
// time from which they have a whole GPU free, or a bound on it: a row that gets
// busier stays where it is until a search comes by it, since most lists that it
// is in are not searched before that changes again.
func (t *Table) indexImages(m *Machine) {
	t.imageIDs = t.imageIDs[:0]
	if m.entry.group != nil {
		for i := range m.images {
			t.imageIDs = append(t.imageIDs, m.images[i].image)
		}
		for i := range m.marks {
			if id := m.marks[i].image; id >= 0 {
				t.imageIDs = append(t.imageIDs, id)
			}
		}
		slices.Sort(t.imageIDs)
		t.imageIDs = slices.Compact(t.imageIDs)
	}
	at := m.entry.at[1]
	same := len(t.imageIDs) == len(m.entry.images)
	for i := range m.entry.images {
		h := &m.entry.images[i]
		if same && h.image != t.imageIDs[i] {
			same = false
		}
		if h.at > at {
			t.moveHolder(m, h, at)
		}
	}
	if same {
		return
	}
	held := make([]heldImage, 0, len(t.imageIDs))
	was := m.entry.images
	for _, id := range t.imageIDs {
		for len(was) > 0 && was[0].image < id {
			t.imageHolders[was[0].image] = removeRow(t.imageHolders[was[0].image], indexedRow{was[0].at, m})
			was = was[1:]
		}
		if len(was) > 0 && was[0].image == id {
			held = append(held, was[0])
			was = was[1:]
			continue
		}
		for int(id) >= len(t.imageHolders) {
			t.imageHolders = append(t.imageHolders, nil)
		}
		t.imageHolders[id] = insertRow(t.imageHolders[id], indexedRow{at, m})
		held = append(held, heldImage{id, at})
	}
	for _, h := range was {
		t.imageHolders[h.image] = removeRow(t.imageHolders[h.image], indexedRow{h.at, m})
	}
	m.entry.images = held
}

func (t *Table) moveHolder(m *Machine, h *heldImage, at micros) {
	moveRow(t.imageHolders[h.image], indexedRow{h.at, m}, indexedRow{at, m})
	h.at = at
}

// lateHolder is a holder that a search found busier than its list has it.
type lateHolder struct {
	machine *Machine
	image   int32
}
