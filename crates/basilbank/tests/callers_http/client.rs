//! A caller that sees each byte as it comes.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
};

use crate::edge::LIMIT;

/// One connection.
pub struct Client {
    reader: BufReader<TcpStream>,
}

/// Status and headers.
#[derive(Debug)]
pub struct Head {
    pub status: u16,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// A header's value; the name is in lower case.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }
}

impl Client {
    pub fn connect(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(LIMIT)).unwrap();
        Client { reader: BufReader::new(stream) }
    }

    /// The connection, without what has been read ahead.
    pub fn stream(&mut self) -> &mut TcpStream {
        self.reader.get_mut()
    }

    pub fn send(&mut self, text: &str) {
        self.reader.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// Posts a body with the key `key-a`; `headers` are whole lines.
    pub fn post(&mut self, path: &str, headers: &str, body: &str) {
        self.post_with(path, headers, body, "");
    }

    /// Posts a body, followed by bytes that do not belong to it, in one write.
    pub fn post_with(&mut self, path: &str, headers: &str, body: &str, beyond: &str) {
        let length = body.len();
        self.send(&format!(
            "POST {path} HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer key-a\r\n{headers}\
             Content-Length: {length}\r\n\r\n{body}{beyond}"
        ));
    }

    fn line(&mut self) -> String {
        let mut line = String::new();
        self.reader.read_line(&mut line).unwrap();
        line.trim_end().to_owned()
    }

    pub fn head(&mut self) -> Head {
        let status = self.line();
        let status = status.split(' ').nth(1).unwrap_or_default().parse().unwrap();
        let mut headers = Vec::new();
        loop {
            let line = self.line();
            let Some((name, value)) = line.split_once(':') else { break };
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
        Head { status, headers }
    }

    /// A body of known length.
    pub fn body(&mut self, head: &Head) -> String {
        let length = head.get("content-length").unwrap().parse().unwrap();
        let mut body = vec![0; length];
        self.reader.read_exact(&mut body).unwrap();
        String::from_utf8(body).unwrap()
    }

    /// A whole answer.
    pub fn answer(&mut self) -> (Head, String) {
        let head = self.head();
        let body = self.body(&head);
        (head, body)
    }

    /// An answer that is an error with this status and code.
    pub fn refused(&mut self, status: u16, code: &str) -> Head {
        let (head, body) = self.answer();
        assert_eq!(head.status, status, "{body}");
        assert!(body.contains(&format!(r#""code":"{code}""#)), "{body}");
        head
    }

    /// The next chunk; `None` at the body's end.
    pub fn chunk(&mut self) -> Option<String> {
        let size = usize::from_str_radix(&self.line(), 16).unwrap();
        let mut bytes = vec![0; size + 2];
        self.reader.read_exact(&mut bytes).unwrap();
        bytes.truncate(size);
        (size != 0).then(|| String::from_utf8(bytes).unwrap())
    }

    /// Whether the server closed the connection and sent nothing more.
    pub fn is_closed(&mut self) -> bool {
        let mut rest = Vec::new();
        self.reader.read_to_end(&mut rest).is_ok() && rest.is_empty()
    }
}
