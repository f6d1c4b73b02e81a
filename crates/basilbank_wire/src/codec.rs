//! Framing of a byte stream: each frame is a length of four bytes followed by that many bytes.

use std::io::{self, Read, Write};

use bytes::{Bytes, BytesMut};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Maximum number of bytes read from the stream at a time.
const READ_CHUNK_BYTES: usize = 16 << 10;

/// Reads and writes length-delimited frames on a blocking stream. It uses the codec of `tokio-util`
/// without a runtime.
///
/// ```
/// use basilbank_wire::FramedStream;
///
/// let mut stream = std::io::Cursor::new(Vec::new());
/// FramedStream::new(&mut stream, 1024).write(b"hello".to_vec().into())?;
/// stream.set_position(0);
/// let frame = FramedStream::new(&mut stream, 1024).read()?;
/// assert_eq!(frame.as_deref(), Some(&b"hello"[..]));
/// # Ok::<(), std::io::Error>(())
/// ```
#[derive(Debug)]
pub struct FramedStream<S> {
    stream: S,
    codec: LengthDelimitedCodec,
    buffer: BytesMut,
    /// The codec has taken a frame's length out of the buffer, but not its bytes.
    in_frame: bool,
}

impl<S> FramedStream<S> {
    /// Wraps a stream; a frame may have at most `max_frame_len` bytes, without its length field.
    pub fn new(stream: S, max_frame_len: usize) -> FramedStream<S> {
        let codec = LengthDelimitedCodec::builder().max_frame_length(max_frame_len).new_codec();
        FramedStream { stream, codec, buffer: BytesMut::new(), in_frame: false }
    }
}

impl<S: Read> FramedStream<S> {
    /// Reads the next frame. Returns `None` if the stream ends between two frames.
    ///
    /// # Errors
    /// `InvalidData` if the frame is longer than the maximum, `UnexpectedEof` if the stream ends
    /// within a frame, and errors of the stream.
    pub fn read(&mut self) -> io::Result<Option<BytesMut>> {
        loop {
            let buffered = self.buffer.len();
            if let Some(frame) = self.codec.decode(&mut self.buffer)? {
                self.in_frame = false;
                return Ok(Some(frame));
            }
            self.in_frame |= self.buffer.len() < buffered;
            if self.fill_buffer()? == 0 {
                let at_boundary = self.buffer.is_empty() && !self.in_frame;
                return if at_boundary {
                    Ok(None)
                } else {
                    Err(io::ErrorKind::UnexpectedEof.into())
                };
            }
        }
    }

    /// Appends bytes from the stream to the buffer. Returns 0 at the end of the stream.
    fn fill_buffer(&mut self) -> io::Result<usize> {
        let len = self.buffer.len();
        self.buffer.resize(len + READ_CHUNK_BYTES, 0);
        let read = self.stream.read(&mut self.buffer[len..]);
        self.buffer.truncate(len + *read.as_ref().unwrap_or(&0));
        read
    }
}

impl<S: Write> FramedStream<S> {
    /// Writes a frame and flushes the stream.
    ///
    /// # Errors
    /// `InvalidInput` if the frame is longer than the maximum, and errors of the stream.
    pub fn write(&mut self, frame: Bytes) -> io::Result<()> {
        let mut bytes = BytesMut::new();
        self.codec.encode(frame, &mut bytes)?;
        self.stream.write_all(&bytes)?;
        self.stream.flush()
    }
}
