package entry

import (
	"bytes"
	"encoding/json"
	"errors"
)

// promptMessages is what this host needs of the messages of a conversation. It does not keep the
// others, since millions of empty ones fit into a body and take far more memory than that.
type promptMessages struct {
	count int
	// first is the content of the first message, in JSON.
	first json.RawMessage
}

var errNoMessageList = errors.New("entry: messages must be a list")

// UnmarshalJSON decodes a list of messages.
func (m *promptMessages) UnmarshalJSON(data []byte) error {
	*m = promptMessages{}
	decoder := json.NewDecoder(bytes.NewReader(data))
	begin, err := decoder.Token()
	if err != nil || begin == nil {
		return err
	}
	if begin != json.Delim('[') {
		return errNoMessageList
	}
	for ; decoder.More(); m.count++ {
		var message struct {
			Content json.RawMessage `json:"content"`
		}
		if err := decoder.Decode(&message); err != nil {
			return err
		}
		if m.count == 0 {
			m.first = message.Content
		}
	}
	return nil
}
