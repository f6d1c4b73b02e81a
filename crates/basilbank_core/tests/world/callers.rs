//! Callers: what they ask, and what they get.

use std::{sync::Arc, time::Duration};

use basilbank_core::{event::ResumePoint, prelude::*};

use super::{Ask, Due, End, Job, Spec, World, daemon::Process};

/// How long a caller waits when no daemon is ready.
const NOT_READY: Duration = Duration::from_millis(100);

/// One try of a caller.
#[derive(Clone, Debug)]
pub struct Try {
    /// What is asked.
    pub ask: usize,
    /// The daemon that it went to.
    pub process: Process,
    /// When it was sent.
    pub sent: Duration,
    /// When the caller will have left.
    pub leaves: Duration,
    /// Token 0 of this try is this token of the whole answer.
    pub start: u32,
    /// The id that it was accepted under.
    pub request: Option<RequestId>,
    /// Tokens that the caller has from this try.
    pub next: u32,
    /// When the first one came.
    pub first: Option<Duration>,
    /// When the last one came.
    pub last: Duration,
    /// The longest time between two tokens.
    pub gap: Duration,
    /// When and how it ended.
    pub end: Option<(Duration, End)>,
    /// The core said how it ends; that is on its way.
    pub closed: bool,
    /// The endpoint and stream that last told this try its end.
    pub source: Option<(usize, u64)>,
    /// Where the stream lives.
    pub located: Option<ResumePoint>,
    /// When it was told to come back after a refusal.
    pub after: Option<Duration>,
    /// Tokens that came again.
    pub doubled: u32,
    /// Tokens that were missing before others, or at the end.
    pub missing: u32,
    /// Tokens or answers that belong to another request or place.
    pub foreign: u32,
    /// Answers after the end.
    pub stray: u32,
    /// Generated tokens that the answer tells, if they are not those that came.
    pub miscounted: bool,
    base: i64,
}

impl Try {
    /// Whether its caller got the whole answer.
    #[must_use]
    pub fn is_done(&self) -> bool {
        matches!(self.end, Some((_, End::Done)))
    }

    /// The try of a shell's number for a caller.
    #[must_use]
    pub fn number(caller: CallerId) -> usize {
        caller.0 as usize - 1
    }
}

/// Where a request is.
#[derive(Clone, Copy, Debug, Default)]
pub struct Route {
    /// Tries so far.
    pub tries: u32,
    /// The latest.
    pub latest: Option<usize>,
    /// The endpoint of its prefill.
    pub prefill: Option<usize>,
    /// The endpoint that decodes it.
    pub decode: Option<usize>,
    /// The plain service's replica.
    pub plain: Option<usize>,
    /// A try got the whole answer.
    pub done: bool,
}

/// All callers.
#[derive(Default)]
pub struct Callers {
    /// What is asked.
    pub asks: Vec<Ask>,
    /// Where each of them is.
    pub progress: Vec<Route>,
    /// All tries.
    pub tries: Vec<Try>,
}

/// The text of one token: whose it is, and its place in the answer.
pub fn text(ask: usize, position: u32) -> String {
    format!("{ask:x}.{position:x}")
}

fn is_text(text: &str, ask: usize, position: u32) -> bool {
    let Some((a, p)) = text.split_once('.') else { return false };
    usize::from_str_radix(a, 16) == Ok(ask) && u32::from_str_radix(p, 16) == Ok(position)
}

impl World {
    /// A caller sends its request, for the first time or again.
    pub(super) fn send_try(&mut self, ask: usize) {
        let Some(daemon) = self.balance(ask) else {
            if self.now < self.callers.asks[ask].at + self.callers.asks[ask].patience {
                self.after(NOT_READY, Due::Send(ask));
            }
            return;
        };
        let number = self.callers.tries.len();
        let place = &mut self.callers.progress[ask];
        let earlier = place.latest.replace(number);
        place.tries += 1;
        let is_first = place.tries == 1;
        let (resume, start) = self.resume_point(ask, earlier);
        let asked = &self.callers.asks[ask];
        let leaves = self.now + asked.patience;
        let process = self.daemons[daemon].process(daemon);
        let work = match &asked.job {
            Job::Draft { tokens, blocks, max_tokens, .. } => CallKind::Completion(Completion {
                model: self.spec.entry(asked.team),
                prompt_tokens: *tokens,
                block_hashes: Arc::clone(blocks),
                max_tokens: *max_tokens,
                resume,
            }),
            Job::Plain { method } => CallKind::Plain(PlainCall {
                method: (*method).into(),
                path: format!("/{}/item", self.spec.service),
            }),
        };
        let call = Call {
            caller: CallerId(number as u64 + 1),
            key: Spec::key(asked.team),
            idempotency_key: asked.idempotency(),
            repeatable: asked.repeatable,
            kind: work,
        };
        let copy = asked.copy.filter(|_| is_first);
        self.callers.tries.push(Try {
            ask,
            process,
            sent: self.now,
            leaves,
            start,
            request: None,
            next: 0,
            first: None,
            last: Duration::ZERO,
            gap: Duration::ZERO,
            end: None,
            closed: false,
            source: None,
            located: None,
            after: None,
            doubled: 0,
            missing: 0,
            foreign: 0,
            stray: 0,
            miscounted: false,
            base: 0,
        });
        self.daemons[daemon].open.insert(number);
        let event = Event::Caller(CallerEvent::Arrived(Box::new(call)));
        self.after(self.spec.client_latency, Due::Event(process, event));
        self.queue.push(leaves, Due::Leave(number));
        if let Some(copy) = copy {
            self.after(copy, Due::Send(ask));
        }
    }

    /// The daemon for a try: any that is ready, but not the one that an earlier try went to.
    fn balance(&mut self, ask: usize) -> Option<usize> {
        let asked = &self.callers.asks[ask];
        let latest = self.callers.progress[ask].latest;
        if let (Some(daemon), None) = (asked.daemon, latest)
            && self.daemons[daemon].is_ready()
        {
            return Some(daemon);
        }
        let avoid = latest.map(|l| self.callers.tries[l].process.daemon);
        let ready: Vec<_> = (0..self.daemons.len())
            .filter(|d| self.daemons[*d].is_ready() && Some(*d) != avoid)
            .collect();
        if ready.is_empty() {
            return avoid.filter(|d| self.daemons[*d].is_ready());
        }
        Some(ready[self.rng.index(ready.len())])
    }

    /// Where an earlier try's stream goes on, and which token of the whole answer comes next.
    fn resume_point(&self, ask: usize, earlier: Option<usize>) -> (Option<ResumePoint>, u32) {
        let Some(earlier) = earlier.map(|e| &self.callers.tries[e]) else { return (None, 0) };
        let broken = matches!(earlier.end, Some((_, End::Broken | End::Left)));
        if !self.callers.asks[ask].resumes || !broken {
            return (None, 0);
        }
        let Some(located) = &earlier.located else { return (None, 0) };
        let Ok(offset) = u32::try_from(earlier.base + i64::from(earlier.next)) else {
            return (None, 0);
        };
        (Some(ResumePoint { offset, ..located.clone() }), earlier.start + earlier.next)
    }

    /// A caller leaves.
    pub(super) fn leave(&mut self, number: usize) {
        let one = &mut self.callers.tries[number];
        if one.end.is_some() {
            return;
        }
        one.leaves = one.leaves.min(self.now);
        let process = one.process;
        self.try_ended(number, End::Left);
        let event = CallerEvent::Left(CallerId(number as u64 + 1));
        self.after(self.spec.client_latency, Due::Event(process, Event::Caller(event)));
    }

    /// A caller learns how its try ended, and perhaps tries again.
    pub(super) fn try_ended(&mut self, number: usize, end: End) {
        let one = &mut self.callers.tries[number];
        if one.end.is_some() {
            return;
        }
        one.end = Some((self.now, end));
        let (ask, process) = (one.ask, one.process);
        self.daemons[process.daemon].open.remove(&number);
        let place = &mut self.callers.progress[ask];
        if end == End::Done {
            place.done = true;
            return;
        }
        let asked = &self.callers.asks[ask];
        if place.tries <= asked.retries && !place.done && place.latest == Some(number) {
            self.after(asked.pause, Due::Send(ask));
        }
    }

    /// The core's answer to a caller.
    pub(super) fn answer(&mut self, process: Process, caller: CallerId, answer: Answer) {
        let number = Try::number(caller);
        let arrives = self.now + self.spec.client_latency;
        let one = &mut self.callers.tries[number];
        if one.closed || one.process != process {
            one.stray += 1;
            return;
        }
        if let Answer::Accepted { request, .. } = answer {
            one.request = Some(request);
            self.record.accepted(request, number);
            return;
        }
        if one.end.is_some() || one.leaves <= arrives {
            return;
        }
        let ask = one.ask;
        let end = match answer {
            Answer::Accepted { .. } => return,
            Answer::Located { endpoint, stream, base_offset } => {
                let entry = EntryId::of(&self.spec.entry(self.callers.asks[ask].team));
                one.located = Some(ResumePoint { endpoint, stream, offset: 0, entry });
                one.base = base_offset;
                return;
            }
            Answer::Tokens { offset, texts } => {
                one.take(offset, &texts, self.spec.texts, arrives);
                return;
            }
            Answer::Done { generated_tokens: generated, .. } => {
                let total = self.callers.asks[ask].total();
                one.missing += total.saturating_sub(one.start + one.next);
                one.miscounted = generated != one.next;
                End::Done
            }
            Answer::Plain { attempt } => {
                match self.daemons[process.daemon].answers.remove(&attempt) {
                    Some(of) => {
                        one.foreign += u32::from(of != ask);
                        one.first = Some(arrives);
                        End::Done
                    }
                    None => End::Unknown,
                }
            }
            Answer::Refused { refusal, retry_after } => {
                one.after = retry_after;
                End::Refused(refusal)
            }
            Answer::Unknown => End::Unknown,
        };
        one.closed = true;
        self.after(self.spec.client_latency, Due::Ended(number, end));
    }
}

impl Try {
    fn take(&mut self, offset: u32, texts: &[String], checked: bool, now: Duration) {
        for (position, text) in (offset..).zip(texts) {
            if position < self.next {
                self.doubled += 1;
                continue;
            }
            self.missing += position - self.next;
            self.next = position + 1;
            let right = !checked || is_text(text, self.ask, self.start + position);
            self.foreign += u32::from(!right);
        }
        if self.first.is_none() {
            self.first = Some(now);
        } else {
            self.gap = self.gap.max(now - self.last);
        }
        self.last = now;
    }
}
