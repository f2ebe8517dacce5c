//! A blocking HTTP/1.1 client and server.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// A request or a response as it was read. `first` is the request line or the status line.
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok())
            .unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut message = Message {
        first: first.trim_end().to_owned(),
        headers: Vec::new(),
        body: Vec::new(),
    };
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            message
                .headers
                .push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
    if message
        .header("Transfer-Encoding")
        .is_some_and(|value| value.eq_ignore_ascii_case("chunked"))
    {
        loop {
            let mut size = String::new();
            reader.read_line(&mut size)?;
            let size =
                usize::from_str_radix(size.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    } else {
        let length = message
            .header("Content-Length")
            .and_then(|value| value.parse().ok())
            .unwrap_or(0);
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

/// Sends one request on a new connection and waits for the response.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    body: &[u8],
    wait: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&addr, wait.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(wait))?;
    let mut request = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\n");
    if !body.is_empty() {
        request.push_str("Content-Type: application/json\r\n");
    }
    request.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = request.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let response = read_message(&mut BufReader::new(stream))?;
    response.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Serves an address, with a thread for each connection. The handler returns the status and a JSON body.
pub fn serve<F>(addr: SocketAddr, handler: F) -> io::Result<()>
where
    F: Fn(&Message) -> (u16, String) + Clone + Send + 'static,
{
    let listener = TcpListener::bind(addr)?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(request)) = read_message(&mut reader) {
                    let (status, body) = handler(&request);
                    let head = format!(
                        "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                        body.len()
                    );
                    if writer.write_all((head + &body).as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    Ok(())
}
