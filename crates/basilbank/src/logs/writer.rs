//! Lines are written by a thread of their own.

use std::{
    io::{self, Write},
    sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError, sync_channel},
    thread,
    time::{Duration, Instant},
};

/// Lines that may wait to be written.
const WAITING: usize = 8192;

/// Longest wait for the lines before a flush.
const FLUSH: Duration = Duration::from_secs(2);

/// How often a flush looks for room among the lines.
const ROOM: Duration = Duration::from_millis(1);

/// Takes lines without waiting.
///
/// The event loop logs. A log that can't be written just now, say a pipe whose reader has stopped,
/// would hold the loop up, and peers would take this daemon for dead. So lines wait here, and are
/// dropped when too many wait; how many is logged as soon as there is room.
#[derive(Debug)]
pub struct LineWriter {
    lines: SyncSender<Work>,
    line: Vec<u8>,
    dropped: u64,
}

/// Waits until all lines so far have been written.
#[derive(Clone, Debug)]
pub struct LogFlush(SyncSender<Work>);

#[derive(Debug)]
enum Work {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

impl LineWriter {
    /// Starts the thread that writes to `target`.
    ///
    /// # Errors
    /// The thread can't be started.
    pub fn start(target: impl Write + Send + 'static) -> io::Result<(LineWriter, LogFlush)> {
        let (lines, work) = sync_channel(WAITING);
        thread::Builder::new().name("logs".to_owned()).spawn(move || write(&work, target))?;
        let flush = LogFlush(lines.clone());
        Ok((LineWriter { lines, line: Vec::new(), dropped: 0 }, flush))
    }

    fn end_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        if self.dropped != 0 {
            let note = format!("event=log_lines_dropped lines={}\n", self.dropped);
            if self.lines.try_send(Work::Line(note.into())).is_ok() {
                self.dropped = 0;
            }
        }
        if self.lines.try_send(Work::Line(line)).is_err() {
            self.dropped += 1;
        }
    }
}

impl Write for LineWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if bytes.ends_with(b"\n") {
            self.end_line();
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl LogFlush {
    /// Waits until all lines so far have been written, but not for ever.
    pub fn flush(&self) {
        let (done, is_done) = sync_channel(1);
        let end = Instant::now() + FLUSH;
        let mut work = Work::Flush(done);
        // A log that can't be written must not hold the exit up.
        while let Err(TrySendError::Full(back)) = self.0.try_send(work) {
            if end <= Instant::now() {
                return;
            }
            work = back;
            thread::sleep(ROOM);
        }
        let _: Result<(), RecvTimeoutError> =
            is_done.recv_timeout(end.saturating_duration_since(Instant::now()));
    }
}

/// Lines that can't be written are lost; there is nowhere to say so.
fn write(work: &Receiver<Work>, mut target: impl Write) {
    while let Ok(next) = work.recv() {
        match next {
            Work::Line(line) => drop(target.write_all(&line)),
            Work::Flush(done) => {
                let _ = target.flush();
                let _ = done.send(());
            }
        }
    }
}
