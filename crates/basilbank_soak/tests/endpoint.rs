//! Endpoints serve one call after another over a connection.

use std::{
    io::{BufReader, Read, Write},
    net::TcpStream,
    time::Duration,
};

use basilbank_standin::managed::{
    BreakShare, Caches, Ending, EndpointSpec, Framing, ManagedEndpoint, read_answer,
};

/// Longest wait for an answer.
const PATIENCE: Duration = Duration::from_secs(20);

#[test]
fn a_stream_takes_no_bytes_of_the_call_after_it() {
    let spec = EndpointSpec::model("d1", "decode");
    let endpoint = ManagedEndpoint::start(spec, &Caches::default()).expect("an endpoint");
    endpoint.end_some(Ending { framing: Some(Framing::Length), broken: None }, BreakShare::ALL);
    let stream = TcpStream::connect(endpoint.address()).expect("a connection");
    stream.set_read_timeout(Some(PATIENCE)).expect("a limit");
    let call = |id: &str| {
        let headers = format!("x-attempt-id: {id}\r\nx-token-counts: 1000,5\r\n");
        let text = format!("POST /draft/{id} HTTP/1.1\r\n{headers}\r\n");
        (&stream).write_all(text.as_bytes()).expect("a call");
    };
    call("a");
    // The answer has begun.
    (&stream).read_exact(&mut [0]).expect("a byte");
    call("b");
    let mut reader = BufReader::new(&stream);
    let whole = [(), ()].map(|()| read_answer(&mut reader).is_ok_and(|answer| answer.whole));
    let ran = endpoint.served().ran;
    let lines: Vec<_> = ran.iter().map(|run| format!("{} {}", run.method, run.target)).collect();
    assert_eq!((whole, lines.join(", ").as_str()), ([true; 2], "POST /draft/a, POST /draft/b"));
}
