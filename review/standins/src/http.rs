//! The little of HTTP/1.1 that the stand-ins speak.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or the head of a response: the first line and the headers, with names in lowercase.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// The method of a request.
    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or_default()
    }

    /// The path of a request, with its query.
    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    head.first_line = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(head));
        }
        if let Some((name, value)) = text.split_once(':') {
            head.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn is_chunked(head: &Head) -> bool {
    head.get("transfer-encoding").is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"))
}

fn read_chunk(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut data = vec![0; size + 2];
    reader.read_exact(&mut data)?;
    data.truncate(size);
    Ok(data)
}

/// Reads the body of a request.
pub fn read_body(reader: &mut impl BufRead, head: &Head) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if is_chunked(head) {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                return Ok(body);
            }
            body.extend(chunk);
        }
    }
    let length = head.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    body.resize(length, 0);
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Writes a response with a length.
pub fn respond(
    mut stream: &TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += "\r\n";
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// How the body of a response ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum BodyEnd {
    /// With the mark that its framing gives to a whole body.
    Whole,
    /// Without that mark.
    BrokenOff,
}

/// Sends a request over a new connection and reads the response. `on_data` gets the pieces of the body
/// as they come.
pub fn exchange(
    to: SocketAddr,
    request: &str,
    timeout: Duration,
    mut on_data: impl FnMut(&[u8]),
) -> io::Result<(Head, BodyEnd)> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.write_all(request.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    if is_chunked(&head) {
        loop {
            match read_chunk(&mut reader) {
                Ok(chunk) if chunk.is_empty() => return Ok((head, BodyEnd::Whole)),
                Ok(chunk) => on_data(&chunk),
                Err(_) => return Ok((head, BodyEnd::BrokenOff)),
            }
        }
    }
    let mut left = head.get("content-length").and_then(|text| text.parse::<usize>().ok());
    let mut buffer = [0; 4096];
    loop {
        if left == Some(0) {
            return Ok((head, BodyEnd::Whole));
        }
        let most = left.unwrap_or(buffer.len()).min(buffer.len());
        match reader.read(&mut buffer[..most]) {
            Ok(0) if left.is_none() => return Ok((head, BodyEnd::Whole)),
            Ok(0) | Err(_) => return Ok((head, BodyEnd::BrokenOff)),
            Ok(count) => {
                on_data(&buffer[..count]);
                left = left.map(|left| left - count);
            }
        }
    }
}
