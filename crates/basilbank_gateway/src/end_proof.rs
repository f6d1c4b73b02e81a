//! What proves that the body of an endpoint's answer came whole.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use basilbank_forward::{effect::Target, prelude::*};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{Response, StatusCode, body::Incoming};
use tokio::time::{sleep, timeout};

use crate::{
    attempt::parse_keep_alive,
    belonging::AnswerOrigin,
    connections::{CallError, ConnectError, Connection},
    endpoint_calls::LIVENESS_TIMEOUT,
    router::Router,
    sent_bytes::request_bytes,
};

/// Maximum number of new connections by which the process is asked, as one of them may be lost.
const MAX_ASKED: u32 = 4;

/// Pause between two of them.
const ASK_PAUSE: Duration = Duration::from_millis(100);

/// Maximum size of the process's answer.
const MAX_REPORT_BYTES: usize = 256 << 10;

/// What proves that a body is whole, or why nothing does.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum EndProof {
    /// The framing: a length that was reached, or a last chunk.
    Framing,
    /// The process that wrote the body lives on after its end.
    Process,
    /// The stream has as many events as the caller wants tokens.
    Tokens,
    /// A peer that passes the body on has proof.
    Peer,
    /// Nothing: the process has ended.
    Ended,
    /// Nothing: another process has the address.
    Replaced,
    /// Nothing: the connection has ended before the request was written whole.
    Early,
    /// Nothing: the process can't be reached, or whoever has the address doesn't answer.
    Unreachable,
}

impl EndProof {
    /// Returns whether the body is whole.
    #[must_use]
    pub fn is_whole(self) -> bool {
        matches!(self, EndProof::Framing | EndProof::Process | EndProof::Tokens | EndProof::Peer)
    }

    /// Returns the stable name for logs and metric labels.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            EndProof::Framing => "framing",
            EndProof::Process => "process",
            EndProof::Tokens => "tokens",
            EndProof::Peer => "peer",
            EndProof::Ended => "ended",
            EndProof::Replaced => "replaced",
            EndProof::Early => "early",
            EndProof::Unreachable => "unreachable",
        }
    }
}

/// What came of a question to the process over a new connection.
enum Asked {
    /// It is the writer, or it isn't.
    Clear(EndProof),
    /// Nothing listens at the address.
    Refused,
    /// The connection was accepted, and no answer came. A later start may have the address.
    Accepted,
    /// No connection was made.
    Unreachable,
}

/// The times of an answer whose writer is to be told from a later process at its address.
#[derive(Clone, Copy, Debug)]
pub struct AnswerTimes {
    /// When its head came.
    head: Instant,
    /// When its connection was made, as the Unix time in milliseconds. The writer had begun by then; the
    /// head may be read late.
    connected_ms: u64,
}

impl Router {
    /// Returns the times of an answer whose head has just come over a connection.
    #[must_use]
    pub fn answer_times(&self, connection: &Connection) -> AnswerTimes {
        let head = Instant::now();
        let age = head.saturating_duration_since(connection.opened_at());
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        AnswerTimes { head, connected_ms: self.clock.now().unix_ms().saturating_sub(age_ms) }
    }

    /// Checks whether the process that wrote an answer lives on after it, leaving or not.
    ///
    /// A process that ends closes its connections in the same way as one that has finished its answer.
    /// A process that still answers would have left the connection open until the answer's end. Where
    /// new connections are refused or not answered, it may be there over one that is open.
    pub async fn check_writer(self: &Rc<Self>, target: &Target, times: AnswerTimes) -> EndProof {
        for number in 0..MAX_ASKED {
            if number != 0 {
                sleep(ASK_PAUSE).await;
            }
            match self.ask_anew(target, times).await {
                Asked::Clear(clear) => return clear,
                Asked::Refused => return self.ask_over_idle(target, times).await,
                Asked::Accepted => match self.ask_over_idle(target, times).await {
                    EndProof::Ended => {}
                    clear => return clear,
                },
                Asked::Unreachable => {}
            }
        }
        EndProof::Unreachable
    }

    async fn ask_anew(self: &Rc<Self>, target: &Target, times: AnswerTimes) -> Asked {
        match Connection::connect_unless_refused(target.addr, LIVENESS_TIMEOUT).await {
            Ok(connection) => match self.ask(target, connection, times).await {
                Ok(proof) => Asked::Clear(proof),
                Err(_) => Asked::Accepted,
            },
            Err(ConnectError::Refused) => Asked::Refused,
            Err(ConnectError::Other) => Asked::Unreachable,
        }
    }

    /// Asks twice: a process that is ending may close its connections one after the other, and answer
    /// over those that it has not closed yet.
    async fn ask_over_idle(self: &Rc<Self>, target: &Target, times: AnswerTimes) -> EndProof {
        let asked = Instant::now();
        let proof = self.ask_idle_once(target, times).await;
        // A connection that was open for that long without an answer needs no second question.
        if proof != EndProof::Process || ASK_PAUSE <= asked.elapsed() {
            return proof;
        }
        sleep(ASK_PAUSE).await;
        self.ask_idle_once(target, times).await
    }

    async fn ask_idle_once(self: &Rc<Self>, target: &Target, times: AnswerTimes) -> EndProof {
        while let Some(connection) = self.connections.take_oldest(target.endpoint) {
            let is_writers = connection.opened_at() < times.head;
            match self.ask(target, connection, times).await {
                Ok(proof) => return proof,
                // The connection is open, so the process lives.
                Err(CallError::Silent) if is_writers => return EndProof::Process,
                // A later start may be at its other end, and at that of all that were opened after it.
                Err(CallError::Silent) => return EndProof::Ended,
                Err(_) => {}
            }
        }
        EndProof::Ended
    }

    /// Asks for the process's report. The connection is kept for the next call.
    async fn ask(
        self: &Rc<Self>,
        target: &Target,
        mut connection: Connection,
        times: AnswerTimes,
    ) -> Result<EndProof, CallError> {
        if !self.may_send(target, Purpose::Probe) {
            self.connections.keep(target.endpoint, connection, None);
            return Ok(EndProof::Process);
        }
        let request = (self.dialect.liveness_request)(&target.instance);
        self.count_request(target, request_bytes(&request));
        let answer = connection.send(request, LIVENESS_TIMEOUT).await;
        let answer = answer.map_err(|(error, _)| error)?;
        self.read_statements(target, &answer);
        let origin = AnswerOrigin::Direct(connection.answer_place());
        self.check_answer(Purpose::Probe, None, target, &answer, origin)?;
        let (status, keep_alive) = (answer.status(), parse_keep_alive(answer.headers()));
        let report = read_report(answer).await;
        let started_at = report.as_ref().and_then(|report| (self.dialect.parse_start_time)(report));
        let is_later = started_at
            .is_some_and(|at| times.connected_ms < at && !self.is_known_start(target, at));
        if status == StatusCode::MISDIRECTED_REQUEST || is_later {
            return Ok(EndProof::Replaced);
        }
        if let (Some(_), Some(keep_alive)) = (report, keep_alive) {
            self.connections.keep(target.endpoint, connection, keep_alive);
        }
        Ok(EndProof::Process)
    }

    /// Returns whether it is the start that the call was sent to. A later start that had begun before
    /// the connection is the writer all the same: its record may not have been read yet.
    fn is_known_start(&self, target: &Target, started_at: u64) -> bool {
        self.read(|state| {
            let endpoint = state.directory.get(target.endpoint);
            endpoint.is_some_and(|endpoint| endpoint.info.start_time == Some(started_at))
        })
    }
}

/// Returns the report's body, if it comes to its end.
async fn read_report(report: Response<Incoming>) -> Option<Bytes> {
    let body = Limited::new(report.into_body(), MAX_REPORT_BYTES).collect();
    Some(timeout(LIVENESS_TIMEOUT, body).await.ok()?.ok()?.to_bytes())
}
