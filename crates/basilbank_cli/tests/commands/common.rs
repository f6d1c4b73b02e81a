//! An HTTP server that replaces a daemon, and a function that runs a command.

use std::{
    io::Read as _,
    net::SocketAddr,
    sync::{Arc, Mutex, mpsc::Sender},
};

use basilbank_cli::{CommandContext, ExitStatus, run};
use rouille::{Response, Server};

/// A request that the server received.
#[derive(Clone, Debug, Default)]
pub struct ReceivedRequest {
    /// Value of the `Authorization` header, or an empty string.
    pub authorization: String,
    /// Body as text.
    pub body: String,
}

/// Answers requests until it is dropped.
pub struct FakeDaemon {
    pub address: SocketAddr,
    pub received: Arc<Mutex<Vec<ReceivedRequest>>>,
    _stop: Sender<()>,
}

/// Returns status and body of the answer to a method and path, such as `GET /admin/status`.
pub type AnswerFn = dyn FnMut(&str) -> (u16, String) + Send;

impl FakeDaemon {
    pub fn start(answer: Box<AnswerFn>) -> FakeDaemon {
        let (answer, received) = (Mutex::new(answer), Arc::new(Mutex::new(Vec::new())));
        let received_by_server = Arc::clone(&received);
        let server = Server::new("127.0.0.1:0", move |request| {
            let line = format!("{} {}", request.method(), request.raw_url());
            let authorization = request.header("authorization").unwrap_or_default().to_owned();
            let mut body = String::new();
            request.data().unwrap().read_to_string(&mut body).unwrap();
            let (status, text) = answer.lock().unwrap()(&line);
            received_by_server.lock().unwrap().push(ReceivedRequest { authorization, body });
            Response::text(text).with_status_code(status)
        });
        let server = server.unwrap();
        let address = server.server_addr();
        let (_, _stop) = server.stoppable();
        FakeDaemon { address, received, _stop }
    }
}

/// Output and exit status of a command.
#[derive(Debug)]
pub struct CommandOutput {
    pub status: ExitStatus,
    pub out: String,
    pub err: String,
}

/// Runs a command with the given standard input and environment.
pub fn run_command(args: &[&str], input: &str, env: &[(&str, &str)]) -> CommandOutput {
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let get_env = |name: &str| env.iter().find(|(n, _)| *n == name).map(|(_, v)| (*v).to_owned());
    let mut ctx = CommandContext {
        input: &mut input.as_bytes(),
        out: &mut out,
        err: &mut err,
        env: &get_env,
        sleep: &|_| {},
    };
    let status = run(&mut ctx, args.iter().map(Into::into).collect());
    let text = |bytes| String::from_utf8(bytes).unwrap();
    CommandOutput { status, out: text(out), err: text(err) }
}
