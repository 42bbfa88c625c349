package storage

import (
	"bytes"
	"encoding/binary"
	"io"
)

// Layout of a bbolt page: a header with the page's ID, flags, number of elements and number
// of overflow pages, then the elements, which point to their keys and values.
const (
	pageFlagsOffset    = 8
	pageCountOffset    = 10
	pageOverflowOffset = 12
	flagBranch         = 0x01
	flagLeaf           = 0x02
	elementBytes       = 16
	// bucketElement marks a leaf element whose value is a bucket: the ID of its root page,
	// or zero and a page that lies in the value, behind a header of bucketHeaderBytes.
	bucketElement     = 0x01
	bucketHeaderBytes = 16
	// firstDataPage is the first page after the meta pages.
	firstDataPage = 2
)

// pageChecker checks the structure of all pages that are in use. When bbolt opens a file for
// writing, it walks them to find the free ones. Damage that it notices only then ends the
// process or keeps it busy without end, so the walk must be known to succeed before.
type pageChecker struct {
	file io.ReaderAt
	// end is the page after the last one that was ever used.
	end  uint64
	seen map[uint64]bool
}

// checkPages checks the pages of the tree with the given root. The error is a
// *CorruptionError.
func checkPages(file io.ReaderAt, root, end uint64) error {
	c := &pageChecker{file: file, end: end, seen: map[uint64]bool{}}
	return c.checkPage(root, nil, nil)
}

// checkPage checks a page and those below it. Their keys must be at least low and below high;
// nil means no bound.
func (c *pageChecker) checkPage(id uint64, low, high []byte) error {
	var header [pageHeaderBytes]byte
	if id < firstDataPage || id >= c.end {
		return corruptionErrorf("page %d is outside the file", id)
	}
	if _, err := c.file.ReadAt(header[:], int64(id)*pageSize); err != nil {
		return corruptionErrorf("page %d: %v", id, err)
	}
	overflow := uint64(binary.NativeEndian.Uint32(header[pageOverflowOffset:]))
	if found := binary.NativeEndian.Uint64(header[:]); found != id || overflow >= c.end-id {
		return corruptionErrorf("page %d has the ID %d and %d overflow pages", id, found, overflow)
	}
	for used := id; used <= id+overflow; used++ {
		if c.seen[used] {
			return corruptionErrorf("page %d is used twice", used)
		}
		c.seen[used] = true
	}
	page := make([]byte, (overflow+1)*pageSize)
	if _, err := c.file.ReadAt(page, int64(id)*pageSize); err != nil {
		return corruptionErrorf("page %d: %v", id, err)
	}
	return c.checkElements(id, page, low, high)
}

// checkElements checks the elements of a page.
func (c *pageChecker) checkElements(id uint64, page, low, high []byte) error {
	flags := binary.NativeEndian.Uint16(page[pageFlagsOffset:])
	if flags != flagBranch && flags != flagLeaf {
		return corruptionErrorf("page %d has the flags %#x", id, flags)
	}
	elements, err := readElements(id, page, flags)
	if err != nil {
		return err
	}
	if flags == flagBranch && len(elements) == 0 {
		return corruptionErrorf("branch page %d is empty", id)
	}
	for i, e := range elements {
		inOrder := i == 0 && bytes.Compare(e.key, low) >= 0 || i > 0 && bytes.Compare(e.key, elements[i-1].key) > 0
		if !inOrder || high != nil && bytes.Compare(e.key, high) >= 0 {
			return corruptionErrorf("key %d of page %d is out of order", i, id)
		}
		next := high
		if i+1 < len(elements) {
			next = elements[i+1].key
		}
		switch {
		case flags == flagBranch:
			err = c.checkPage(e.child, e.key, next)
		case e.bucket:
			err = c.checkBucket(id, e.value)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// checkBucket checks the pages of a bucket, which is the value of an element of a page.
func (c *pageChecker) checkBucket(id uint64, value []byte) error {
	if len(value) < bucketHeaderBytes {
		return corruptionErrorf("a bucket of page %d is cut off", id)
	}
	if root := binary.NativeEndian.Uint64(value); root != 0 {
		return c.checkPage(root, nil, nil)
	}
	inline := value[bucketHeaderBytes:]
	if len(inline) < pageHeaderBytes {
		return corruptionErrorf("a bucket of page %d is cut off", id)
	}
	if flags := binary.NativeEndian.Uint16(inline[pageFlagsOffset:]); flags != flagLeaf {
		return corruptionErrorf("a bucket of page %d has the flags %#x", id, flags)
	}
	return c.checkElements(id, inline, nil, nil)
}

// element is one element of a page: of a branch page a child, of a leaf page a value.
type element struct {
	key, value []byte
	child      uint64
	bucket     bool
}

// readElements returns the elements of a page.
func readElements(id uint64, page []byte, flags uint16) ([]element, error) {
	count := int(binary.NativeEndian.Uint16(page[pageCountOffset:]))
	if pageHeaderBytes+count*elementBytes > len(page) {
		return nil, corruptionErrorf("page %d has %d elements", id, count)
	}
	out := make([]element, 0, count)
	for i := range count {
		raw := page[pageHeaderBytes+i*elementBytes:]
		field := func(offset int) uint64 { return uint64(binary.NativeEndian.Uint32(raw[offset:])) }
		e, position, keyBytes, valueBytes := element{}, field(0), field(4), uint64(0)
		if flags == flagBranch {
			e.child = binary.NativeEndian.Uint64(raw[8:])
		} else {
			flags := field(0)
			if flags&^bucketElement != 0 {
				return nil, corruptionErrorf("element %d of page %d has the flags %#x", i, id, flags)
			}
			e.bucket = flags == bucketElement
			position, keyBytes, valueBytes = field(4), field(8), field(12)
		}
		if position+keyBytes+valueBytes > uint64(len(raw)) {
			return nil, corruptionErrorf("element %d of page %d is outside its page", i, id)
		}
		e.key, e.value = raw[position:position+keyBytes], raw[position+keyBytes:position+keyBytes+valueBytes]
		out = append(out, e)
	}
	return out, nil
}
