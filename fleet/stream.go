// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package fleet

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"granitehoist.example/granitehoist/internal/readlimit"
)

// ReadSettings bound what is read from other routers. The zero value bounds each message only.
type ReadSettings struct {
	// Memory is shared by the messages of all connections; nil has no limit.
	Memory *readlimit.Memory
	// OnExceeded, if set, is called with the address of each router whose message exceeded a
	// bound. It must be safe for concurrent use.
	OnExceeded func(address string, e *readlimit.Error)
}

const (
	// maxMessageBytes bounds a message. A copy of a store's value, the largest part of one,
	// has 1 MB at most.
	maxMessageBytes = 16 << 20
	// maxMessageTime bounds the time from the first to the last byte of a message. Calls
	// give up earlier.
	maxMessageTime = 5 * time.Second
	// streamBufferBytes is the size of the read buffer of a connection.
	streamBufferBytes = 4 << 10
)

// stream is a stream of JSON messages, each prefixed by its length as a varint
// (jsonrpc2.VarintObjectCodec), whose reads are bounded.
type stream struct {
	jsonrpc2.ObjectStream
	conn     *readlimit.Conn
	reader   *bufio.Reader
	settings ReadSettings
}

// newStream returns a stream of messages on conn.
func newStream(conn net.Conn, s ReadSettings) jsonrpc2.ObjectStream {
	if s.OnExceeded == nil {
		s.OnExceeded = func(string, *readlimit.Error) {}
	}
	limited := readlimit.NewConn(conn, readlimit.ConnSettings{})
	return &stream{
		ObjectStream: jsonrpc2.NewBufferedStream(limited, jsonrpc2.VarintObjectCodec{}),
		conn:         limited,
		reader:       bufio.NewReaderSize(limited, streamBufferBytes),
		settings:     s,
	}
}

// ReadObject implements jsonrpc2.ObjectStream. It must be called by one goroutine.
func (s *stream) ReadObject(v any) error {
	err := s.conn.Cause(s.readObject(v))
	if exceeded := readlimit.Of(err); exceeded != nil {
		s.settings.OnExceeded(s.conn.RemoteAddr().String(), exceeded)
	}
	return err
}

// readObject reads the next message.
func (s *stream) readObject(v any) error {
	s.conn.Begin(readlimit.Limits{Part: readlimit.Message, MaxTime: maxMessageTime}, int64(s.reader.Buffered()))
	defer s.conn.End()
	length, err := binary.ReadUvarint(s.reader)
	if err != nil {
		return err
	}
	if length > maxMessageBytes {
		return &readlimit.Error{Part: readlimit.Message, Bound: readlimit.Bytes}
	}
	buffer := readlimit.Buffer{Part: readlimit.Message, MaxBytes: int64(length), Memory: s.settings.Memory}
	defer buffer.Release()
	raw, err := buffer.ReadAll(io.LimitReader(s.reader, int64(length)), int64(length))
	switch {
	case err != nil:
		return err
	case uint64(len(raw)) < length:
		return io.ErrUnexpectedEOF
	}
	return json.Unmarshal(raw, v)
}
