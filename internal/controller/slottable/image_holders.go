package slottable

import "slices"

// holderEntry records a row's position in the list of the holders of an image. The holders are the
// rows that have the image or are going to have it.
type holderEntry struct {
	imageID  int32
	freeFrom micros
}

// indexImages updates the holder lists of a row's images. Each list is ordered by the time from
// which its rows have a whole GPU free, or by a lower bound on that time: a row that gets busier is
// moved only once a search visits it, because most lists that contain the row are not searched
// before the time changes again.
func (t *Table) indexImages(m *Machine) {
	t.imageIDBuffer = t.imageIDBuffer[:0]
	if m.entry.group != nil {
		for i := range m.images {
			t.imageIDBuffer = append(t.imageIDBuffer, m.images[i].imageID)
		}
		for i := range m.marks {
			if id := m.marks[i].imageID; id >= 0 {
				t.imageIDBuffer = append(t.imageIDBuffer, id)
			}
		}
		slices.Sort(t.imageIDBuffer)
		t.imageIDBuffer = slices.Compact(t.imageIDBuffer)
	}
	freeFrom := m.entry.freeFrom[1]
	unchanged := len(t.imageIDBuffer) == len(m.entry.images)
	for i := range m.entry.images {
		h := &m.entry.images[i]
		if unchanged && h.imageID != t.imageIDBuffer[i] {
			unchanged = false
		}
		if h.freeFrom > freeFrom {
			t.moveHolder(m, h, freeFrom)
		}
	}
	if unchanged {
		return
	}
	entries := make([]holderEntry, 0, len(t.imageIDBuffer))
	oldEntries := m.entry.images
	for _, id := range t.imageIDBuffer {
		for len(oldEntries) > 0 && oldEntries[0].imageID < id {
			t.imageHolders[oldEntries[0].imageID] = removeRow(t.imageHolders[oldEntries[0].imageID], indexedRow{oldEntries[0].freeFrom, m})
			oldEntries = oldEntries[1:]
		}
		if len(oldEntries) > 0 && oldEntries[0].imageID == id {
			entries = append(entries, oldEntries[0])
			oldEntries = oldEntries[1:]
			continue
		}
		for int(id) >= len(t.imageHolders) {
			t.imageHolders = append(t.imageHolders, nil)
		}
		t.imageHolders[id] = insertRow(t.imageHolders[id], indexedRow{freeFrom, m})
		entries = append(entries, holderEntry{id, freeFrom})
	}
	for _, h := range oldEntries {
		t.imageHolders[h.imageID] = removeRow(t.imageHolders[h.imageID], indexedRow{h.freeFrom, m})
	}
	m.entry.images = entries
}

func (t *Table) moveHolder(m *Machine, h *holderEntry, freeFrom micros) {
	moveRow(t.imageHolders[h.imageID], indexedRow{h.freeFrom, m}, indexedRow{freeFrom, m})
	h.freeFrom = freeFrom
}

// outdatedHolder is a row that a search found to be free later than the image's holder list has it.
type outdatedHolder struct {
	machine *Machine
	imageID int32
}
