//! Frames over streams that break, lie or trickle.

use std::io::{Cursor, ErrorKind, Read};

use basilbank_wire::Frames;

const LONGEST: usize = 100;

/// Gives one byte at a time.
struct Trickle(Cursor<Vec<u8>>);

impl Read for Trickle {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        let end = buffer.len().min(1);
        self.0.read(&mut buffer[..end])
    }
}

fn framed(frames: &[&[u8]]) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut writer = Frames::new(&mut bytes, LONGEST);
    for frame in frames {
        writer.write(frame.to_vec().into()).unwrap();
    }
    bytes
}

#[test]
fn frames_come_whole_from_a_trickle() {
    let bytes = framed(&[b"one", b"", b"three"]);
    let mut reader = Frames::new(Trickle(Cursor::new(bytes)), LONGEST);
    for expected in [&b"one"[..], b"", b"three"] {
        assert_eq!(reader.read().unwrap().as_deref(), Some(expected));
    }
    assert_eq!(reader.read().unwrap(), None);
}

/// Symptom: half a catalogue is taken for a whole one. Sequence: the sender dies while it writes.
/// Cause: the stream's end is taken for the frame's end.
#[test]
fn a_cut_frame_is_an_error() {
    let bytes = framed(&[b"whole", b"cut off"]);
    let mut reader = Frames::new(Cursor::new(&bytes[..bytes.len() - 1]), LONGEST);
    assert_eq!(reader.read().unwrap().as_deref(), Some(&b"whole"[..]));
    assert_eq!(reader.read().unwrap_err().kind(), ErrorKind::UnexpectedEof);
}

/// Symptom: a daemon runs out of memory. Sequence: a stranger connects and announces a frame of four
/// gigabytes. Cause: the length is believed.
#[test]
fn a_length_beyond_the_limit_is_refused_before_it_is_read() {
    let mut reader = Frames::new(Cursor::new([0xff_u8; 8]), LONGEST);
    assert_eq!(reader.read().unwrap_err().kind(), ErrorKind::InvalidData);
}

#[test]
fn a_frame_beyond_the_limit_is_not_written() {
    let mut bytes = Vec::new();
    let mut writer = Frames::new(&mut bytes, LONGEST);
    let error = writer.write(vec![0; LONGEST + 1].into()).unwrap_err();
    assert_eq!(error.kind(), ErrorKind::InvalidInput);
    assert!(bytes.is_empty());
}
