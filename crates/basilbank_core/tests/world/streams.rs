//! Streams of a decode engine after their start: read on, cancelled, dropped.

use basilbank_core::prelude::*;

use super::{
    FakeKind, Try, World,
    decode::{Stream, number_of},
    endpoint::{Origin, Reader},
};

impl World {
    /// A reader takes a stream over.
    pub(super) fn resume_call(
        &mut self,
        endpoint: usize,
        reader: Reader,
        caller: CallerId,
        name: &str,
        offset: u32,
    ) {
        let now = self.now;
        let reads = self.runs(reader.process).then_some(reader);
        let id = number_of(name).unwrap_or(0);
        let Some(stream) = self.endpoints[endpoint].decode().find(id) else {
            self.fail_decode(endpoint, reader, Failure::Evicted);
            return;
        };
        let earlier = stream.reader.take();
        stream.reader = reads;
        let holder = Try::number(caller);
        if stream.holder != holder {
            if stream.past.contains(&holder) {
                self.record.taken_back.push(holder);
            }
            stream.past.push(stream.holder);
        }
        stream.owner = reader.process;
        stream.holder = holder;
        stream.read = now;
        let (made, ended) = (stream.made, stream.total <= stream.made);
        let ask = self.callers.tries[Try::number(caller)].ask;
        self.callers.progress[ask].decode = Some(endpoint);
        if let Some(earlier) = earlier.filter(|e| *e != reader) {
            self.fail_decode(endpoint, earlier, Failure::TakenOver);
        }
        let (attempt, stream) = (reader.attempt, name.into());
        self.reply(endpoint, reader, EngineEvent::Started { attempt, stream });
        self.stream_tokens(endpoint, id, offset);
        if ended {
            self.tell_end(endpoint, id, reader, made);
        }
    }

    /// Cancels a stream that still belongs to the one who asks.
    pub(super) fn decode_cancel(
        &mut self,
        endpoint: usize,
        origin: Origin,
        id: RequestId,
        held: Option<&str>,
    ) {
        let named = held.filter(|h| h.starts_with('s')).and_then(number_of);
        let decode = self.endpoints[endpoint].decode();
        let is_it = |(number, stream): &(&u64, &Stream)| {
            let meant = stream.request == id && stream.number == origin.number;
            stream.owner == origin.process && (meant || Some(**number) == named)
        };
        let found = decode.streams.iter().find(is_it).map(|(number, _)| *number);
        if let Some(number) = found {
            self.drop_stream(endpoint, number);
        }
    }

    /// Frees a stream's memory.
    pub(super) fn drop_stream(&mut self, endpoint: usize, id: u64) {
        if let Some(stream) = self.endpoints[endpoint].decode().streams.remove(&id) {
            self.released(stream.holder);
        }
    }

    /// Frees a stream or KV cache by name.
    pub(super) fn drop_held(&mut self, endpoint: usize, name: &str) {
        let Some(id) = number_of(name) else { return };
        match self.endpoints[endpoint].kind {
            FakeKind::Prefill(_) => self.evict(endpoint, id),
            FakeKind::Decode(_) => {
                let streams = &self.endpoints[endpoint].decode().streams;
                let reader = streams.get(&id).and_then(|s| s.reader);
                self.drop_stream(endpoint, id);
                if let Some(reader) = reader {
                    self.fail_decode(endpoint, reader, Failure::Broken);
                }
            }
            FakeKind::Plain(_) => {}
        }
    }
}
