//! Frames over streams that end early, announce a wrong length, or deliver one byte at a time.

use std::io::{Cursor, ErrorKind, Read};

use basilbank_wire::FramedStream;

const MAX_FRAME_LEN: usize = 100;

/// Returns at most one byte from each read.
struct OneByteReader(Cursor<Vec<u8>>);

impl Read for OneByteReader {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        let end = buffer.len().min(1);
        self.0.read(&mut buffer[..end])
    }
}

fn encode_frames(frames: &[&[u8]]) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut writer = FramedStream::new(&mut bytes, MAX_FRAME_LEN);
    for frame in frames {
        writer.write(frame.to_vec().into()).unwrap();
    }
    bytes
}

#[test]
fn reads_frames_that_arrive_byte_by_byte() {
    let bytes = encode_frames(&[b"one", b"", b"three"]);
    let mut reader = FramedStream::new(OneByteReader(Cursor::new(bytes)), MAX_FRAME_LEN);
    for expected in [&b"one"[..], b"", b"three"] {
        assert_eq!(reader.read().unwrap().as_deref(), Some(expected));
    }
    assert_eq!(reader.read().unwrap(), None);
}

/// Guards against accepting a part of a catalogue as a full one. The sender fails while it writes,
/// and the end of the stream is mistaken for the end of the frame.
#[test]
fn truncated_frame_is_an_error() {
    let whole = encode_frames(&[b"whole"]).len();
    let bytes = encode_frames(&[b"whole", b"cut off"]);
    for end in whole + 1..bytes.len() {
        let mut reader = FramedStream::new(Cursor::new(&bytes[..end]), MAX_FRAME_LEN);
        assert_eq!(reader.read().unwrap().as_deref(), Some(&b"whole"[..]));
        let result = reader.read();
        assert_eq!(result.map_err(|e| e.kind()), Err(ErrorKind::UnexpectedEof), "{end} bytes");
    }
}

#[test]
fn stream_may_end_between_frames() {
    let sequences: [&[&[u8]]; 3] = [&[], &[b"whole"], &[b"whole", b""]];
    for frames in sequences {
        let mut reader = FramedStream::new(Cursor::new(encode_frames(frames)), MAX_FRAME_LEN);
        for frame in frames {
            assert_eq!(reader.read().unwrap().as_deref(), Some(*frame));
        }
        assert_eq!(reader.read().unwrap(), None);
    }
}

/// Guards against a daemon that runs out of memory. An unauthenticated client connects and
/// announces a frame of four gigabytes, and the daemon relies on this length.
#[test]
fn oversized_length_is_rejected_before_the_frame_is_read() {
    let mut reader = FramedStream::new(Cursor::new([0xff_u8; 8]), MAX_FRAME_LEN);
    assert_eq!(reader.read().unwrap_err().kind(), ErrorKind::InvalidData);
}

#[test]
fn oversized_frame_is_not_written() {
    let mut bytes = Vec::new();
    let mut writer = FramedStream::new(&mut bytes, MAX_FRAME_LEN);
    let error = writer.write(vec![0; MAX_FRAME_LEN + 1].into()).unwrap_err();
    assert_eq!(error.kind(), ErrorKind::InvalidInput);
    assert!(bytes.is_empty());
}
