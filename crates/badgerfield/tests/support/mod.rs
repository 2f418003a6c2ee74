//! A scripted plain upstream and a caller that tells whole answers from cut ones.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use anyhow::{Context, Result};
use badgerfield_standin::site::CALLER_KEY;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// The timeout of a call, with its whole answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);
/// How long an answer in two parts pauses between them.
const PAUSE: Duration = Duration::from_millis(300);

/// What the upstream does after the last part of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// It keeps the connection.
    Keep,
    /// It closes the connection.
    Close,
    /// Its process ends: all its connections close, and its listener too.
    Exit,
    /// It closes the connection, and its process ends some time later.
    CloseThenExit { delay: Duration, closes_listener_first: bool },
}

impl End {
    /// Parses a path of [`close_then_exit_path`].
    fn parse_delayed_exit(path: &str) -> Self {
        let mut words = path.rsplit('-');
        let millis = words.next().and_then(|word| word.parse().ok()).unwrap_or_default();
        let closes_listener_first = words.next() == Some("deaf");
        Self::CloseThenExit { delay: Duration::from_millis(millis), closes_listener_first }
    }
}

/// Returns the path whose answer an upstream closes some time before its process ends. The answer is
/// a part of a text (`unframed`), of a JSON document (`json-part`), or two of these (`json-row`).
pub(crate) fn close_then_exit_path(
    answer: &str,
    delay: Duration,
    closes_listener_first: bool,
) -> String {
    let listener = if closes_listener_first { "deaf" } else { "listening" };
    format!("/{answer}-close-exit-{listener}-{}", delay.as_millis())
}

/// An answer: its head, its parts with a pause before each but the first, and its end.
struct Script {
    head: String,
    parts: &'static [&'static str],
    end: End,
}

impl Script {
    /// Returns the answer to a request for a path.
    fn for_path(path: &str) -> Self {
        let typed = |content_type: &str, fields: &str, parts, end| Self {
            head: format!("HTTP/1.1 200 OK\r\ncontent-type: {content_type}\r\n{fields}\r\n"),
            parts,
            end,
        };
        let answer = |fields: &str, parts, end| typed("text/plain", fields, parts, end);
        let json = |parts, end| typed("application/json; charset=utf-8", "", parts, end);
        match path {
            "/cut-length" => answer("content-length: 100\r\n", &["part of it"], End::Close),
            "/cut-chunks" => {
                answer("transfer-encoding: chunked\r\n", &["a\r\npart of it\r\n"], End::Close)
            }
            "/unframed" => answer("", &["first ", "second"], End::Close),
            "/unframed-at-once" => answer("", &["all of it"], End::Close),
            "/unframed-exit" => answer("", &["first ", ""], End::Exit),
            "/json" => json(&["{\"text\": \"]}\", ", "\"list\": []}\n"], End::Close),
            "/json-at-once" => json(&["[{}]"], End::Close),
            path if path.starts_with("/json-part-close-exit-") => {
                json(&["{\"text\": \"]}\", ", "\"list\": []"], End::parse_delayed_exit(path))
            }
            path if path.starts_with("/json-row-close-exit-") => {
                json(&["{\"text\": 1}\n", "{\"text\": 2}\n"], End::parse_delayed_exit(path))
            }
            path if path.starts_with("/unframed-close-exit-") => {
                answer("", &["first ", ""], End::parse_delayed_exit(path))
            }
            path => {
                let status = path.trim_start_matches("/status-");
                let head = format!("HTTP/1.1 {status} Text\r\ncontent-length: 2\r\n\r\n");
                Self { head, parts: &["ok"], end: End::Keep }
            }
        }
    }
}

/// How the upstream answers requests for `OPTIONS *`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Options {
    /// It answers them.
    Answered,
    /// It rejects them and closes the connection.
    Rejected,
    /// The same, as a server of HTTP/1.0, which doesn't announce the close.
    RejectedUnannounced,
    /// The same, and it serves one connection at a time.
    RejectedInTurn,
}

impl Options {
    /// Returns the response, and whether the upstream closes the connection after it.
    fn response(self) -> (&'static [u8], bool) {
        match self {
            Self::Answered => (b"HTTP/1.1 204 No Content\r\n\r\n", false),
            Self::Rejected => (
                b"HTTP/1.1 400 Bad Request\r\nconnection: close\r\ncontent-length: 0\r\n\r\n",
                true,
            ),
            Self::RejectedUnannounced | Self::RejectedInTurn => {
                (b"HTTP/1.0 501 Unsupported\r\n\r\nno", true)
            }
        }
    }
}

#[derive(Debug)]
struct Shared {
    options: Options,
    /// Whether the process has ended.
    exited: watch::Sender<bool>,
    /// Whether its listener is closed.
    is_deaf: watch::Sender<bool>,
    connections: AtomicUsize,
    checks: AtomicUsize,
}

impl Shared {
    fn new(options: Options) -> Arc<Self> {
        Arc::new(Self {
            options,
            exited: watch::Sender::new(false),
            is_deaf: watch::Sender::new(false),
            connections: AtomicUsize::new(0),
            checks: AtomicUsize::new(0),
        })
    }
}

/// A plain upstream whose answers depend on the path.
#[derive(Debug)]
pub(crate) struct PlainUpstream {
    pub(crate) address: SocketAddr,
    shared: Arc<Shared>,
}

impl PlainUpstream {
    /// Starts the upstream at an address.
    pub(crate) async fn start(address: SocketAddr, options: Options) -> Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let shared = Shared::new(options);
        let workers = vec![Arc::clone(&shared)];
        tokio::spawn(run_until_exit(Arc::clone(&shared), accept(listener, workers)));
        Ok(Self { address, shared })
    }

    /// Starts an upstream of two processes that share a listener and accept connections in turn. The
    /// result is the second one.
    pub(crate) async fn start_pair(address: SocketAddr, options: Options) -> Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let shared = Shared::new(options);
        let workers = vec![Shared::new(options), Arc::clone(&shared)];
        tokio::spawn(run_until_exit(Arc::clone(&shared), accept(listener, workers)));
        Ok(Self { address, shared })
    }

    /// Returns how many connections the upstream has accepted, and how many requests for
    /// `OPTIONS *` it has received.
    pub(crate) fn counts(&self) -> (usize, usize) {
        let shared = &self.shared;
        (shared.connections.load(Ordering::Relaxed), shared.checks.load(Ordering::Relaxed))
    }

    /// Starts another process at the address of this one as soon as this one has ended.
    pub(crate) async fn start_successor(&self, options: Options) -> Result<Self> {
        let mut exited = self.shared.exited.subscribe();
        exited.wait_for(|exited| *exited).await?;
        loop {
            if let Ok(successor) = Self::start(self.address, options).await {
                return Ok(successor);
            }
            tokio::task::yield_now().await;
        }
    }
}

/// Runs a task of the upstream until its process ends.
async fn run_until_exit(shared: Arc<Shared>, task: impl Future<Output = ()>) {
    let mut exited = shared.exited.subscribe();
    tokio::select! {
        () = task => {}
        _ = exited.wait_for(|exited| *exited) => {}
    }
}

/// Accepts connections for the processes that share a listener, in turn. The last one closes it.
async fn accept(listener: TcpListener, workers: Vec<Arc<Shared>>) {
    let Some(mut is_deaf) = workers.last().map(|shared| shared.is_deaf.subscribe()) else {
        return;
    };
    for shared in workers.iter().cycle() {
        if *shared.exited.borrow() {
            continue;
        }
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = is_deaf.wait_for(|is_deaf| *is_deaf) => return,
        };
        let Ok((stream, _)) = accepted else {
            return;
        };
        shared.connections.fetch_add(1, Ordering::Relaxed);
        let connection = serve(stream, Arc::clone(shared));
        // An error ends the connection.
        let connection = async { drop(connection.await) };
        if shared.options == Options::RejectedInTurn {
            connection.await;
        } else {
            tokio::spawn(run_until_exit(Arc::clone(shared), connection));
        }
    }
}

async fn serve(mut stream: TcpStream, shared: Arc<Shared>) -> Result<()> {
    stream.set_nodelay(true)?;
    while let Some((method, path)) = read_request(&mut stream).await? {
        if method == "OPTIONS" {
            shared.checks.fetch_add(1, Ordering::Relaxed);
            let (response, closes) = shared.options.response();
            stream.write_all(response).await?;
            if closes {
                return Ok(());
            }
            continue;
        }
        let script = Script::for_path(&path);
        let mut text = script.head;
        for (index, part) in script.parts.iter().enumerate() {
            if index > 0 {
                sleep(PAUSE).await;
            }
            text.push_str(part);
            stream.write_all(text.as_bytes()).await?;
            text.clear();
        }
        match script.end {
            End::Keep => {}
            End::Close => return Ok(()),
            End::Exit => {
                shared.exited.send_replace(true);
                return Ok(());
            }
            End::CloseThenExit { delay, closes_listener_first } => {
                shared.is_deaf.send_replace(closes_listener_first);
                tokio::spawn(async move {
                    sleep(delay).await;
                    shared.exited.send_replace(true);
                });
                return Ok(());
            }
        }
    }
    Ok(())
}

/// Reads a request with its body. Returns its method and its path; `None` at the end of the
/// connection.
async fn read_request(stream: &mut TcpStream) -> Result<Option<(String, String)>> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        match stream.read_u8().await {
            Ok(byte) => bytes.push(byte),
            Err(_) => return Ok(None),
        }
    }
    let head = String::from_utf8(bytes)?.to_ascii_lowercase();
    let length = field(&head, "content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    stream.read_exact(&mut vec![0; length]).await?;
    let mut words = head.split_whitespace();
    let (method, path) = words.next().zip(words.next()).context("expected a request line")?;
    Ok(Some((method.to_ascii_uppercase(), path.to_owned())))
}

/// Returns the value of a field of a head in lower case.
fn field<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let fields = head.lines().filter_map(|line| line.split_once(':'));
    fields.into_iter().find(|(found, _)| *found == name).map(|(_, value)| value.trim())
}

/// An answer as its caller received it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RawAnswer {
    /// The status; 0 if no head arrived.
    pub(crate) status: u16,
    pub(crate) body: String,
    /// Whether the body has the end that its head announces.
    pub(crate) is_whole: bool,
}

/// Calls the plain service through a VM and reads until the connection ends.
pub(crate) async fn call(vm: SocketAddr, path: &str) -> Result<RawAnswer> {
    let mut stream = TcpStream::connect(vm).await?;
    let request = format!(
        "POST /svc/scoring{path} HTTP/1.1\r\nhost: {vm}\r\nauthorization: Bearer {CALLER_KEY}\r\n\
         connection: close\r\ncontent-length: 0\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await?;
    let mut bytes = Vec::new();
    // A reset ends the answer as well.
    let _ = timeout(CALL_TIMEOUT, stream.read_to_end(&mut bytes)).await.context("no end")?;
    let text = String::from_utf8(bytes)?;
    Ok(parse_answer(&text))
}

fn parse_answer(text: &str) -> RawAnswer {
    let Some((head, rest)) = text.split_once("\r\n\r\n") else {
        return RawAnswer { status: 0, body: text.to_owned(), is_whole: false };
    };
    let head = head.to_ascii_lowercase();
    let status = head.split_whitespace().nth(1).and_then(|status| status.parse().ok());
    let status = status.unwrap_or(0);
    if let Some(length) = field(&head, "content-length") {
        let is_whole = length.parse() == Ok(rest.len());
        return RawAnswer { status, body: rest.to_owned(), is_whole };
    }
    let (body, is_whole) = decode_chunks(rest);
    RawAnswer { status, body, is_whole }
}

/// Decodes the chunked coding. Returns the content, and whether the last chunk arrived.
fn decode_chunks(mut rest: &str) -> (String, bool) {
    let mut body = String::new();
    while let Some((size, after)) = rest.split_once("\r\n") {
        let Ok(size) = usize::from_str_radix(size, 16) else {
            break;
        };
        if size == 0 {
            return (body, true);
        }
        let Some(chunk) = after.get(..size) else {
            break;
        };
        body.push_str(chunk);
        rest = after.get(size + 2..).unwrap_or_default();
    }
    (body, false)
}
