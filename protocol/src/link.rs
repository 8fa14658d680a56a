//! Links between daemons. One that calls keeps one connection and redials; one that serves hands
//! each message to a handler. Every wait has a deadline; a full buffer drops and says so.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{self, Receiver};
use tokio::sync::oneshot;
use tokio::time;

use crate::frame::{self, Header, Kind, HEADER_BYTES};
use crate::message::Message;
use crate::socket::{self, IO_TIMEOUT_MS};

type Waits = HashMap<u64, oneshot::Sender<Message>>;

const BUFFER: usize = 512;

/// The calling side. Invariant: `waits` holds only calls whose frame was handed to the connection
/// that is up; when it breaks they all fail at once.
pub struct PeerClient {
    addr: String,
    send: mpsc::Sender<Job>,
}

struct Job {
    kind: Kind,
    msg: Message,
    back: Option<oneshot::Sender<Message>>,
}

impl PeerClient {
    /// Casts that come from the other side go to `news`.
    pub fn start(addr: String, news: Option<mpsc::Sender<Message>>) -> Self {
        let (send, jobs) = mpsc::channel(BUFFER);
        tokio::spawn(run(addr.clone(), jobs, news));
        PeerClient { addr, send }
    }

    pub fn addr(&self) -> &str {
        &self.addr
    }

    /// None: no answer within `wait_ms`, for whatever cause; it may have been acted on, and is not sent any more
    /// if it was not yet.
    pub async fn call(&self, msg: Message, wait_ms: u64) -> Option<Message> {
        let (back, reply) = oneshot::channel();
        let job = Job { kind: Kind::Request, msg, back: Some(back) };
        self.send.try_send(job).ok()?;
        let wait = Duration::from_millis(wait_ms);
        time::timeout(wait, reply).await.ok()?.ok()
    }

    /// False: dropped here, before it was sent.
    pub fn notify(&self, msg: Message) -> bool {
        self.send.try_send(Job { kind: Kind::Notification, msg, back: None }).is_ok()
    }
}

async fn run(addr: String, mut jobs: Receiver<Job>, news: Option<mpsc::Sender<Message>>) {
    let mut first: Option<Job> = None;
    let mut pause = 50;
    loop {
        if first.is_none() {
            let Some(job) = jobs.recv().await else { return };
            first = Some(job);
        }
        let Ok(stream) = socket::connect(&addr, 500, IO_TIMEOUT_MS).await else {
            first = None;
            while jobs.try_recv().is_ok() {}
            time::sleep(Duration::from_millis(pause)).await;
            pause = (pause * 2).min(150);
            continue;
        };
        pause = 50;
        if carry(stream, first.take(), &mut jobs, &news).await.is_none() {
            return;
        }
    }
}

/// Until the connection breaks (Some) or the caller is gone (None).
async fn carry(
    stream: TcpStream,
    mut first: Option<Job>,
    jobs: &mut Receiver<Job>,
    news: &Option<mpsc::Sender<Message>>,
) -> Option<()> {
    let (mut read, mut write) = stream.into_split();
    let waits = Arc::new(Mutex::new(Waits::new()));
    let (over, mut ended) = oneshot::channel::<()>();
    let (hold, feed) = (waits.clone(), news.clone());
    let reader = tokio::spawn(async move {
        while let Some((head, msg)) = take(&mut read).await {
            if head.kind == Kind::Response {
                let back = hold.lock().expect("waits").remove(&head.id);
                if let Some(back) = back {
                    let _ = back.send(msg);
                }
                continue;
            }
            if let Some(feed) = &feed {
                let _ = feed.try_send(msg);
            }
        }
        hold.lock().expect("waits").clear();
        drop(over);
    });
    let mut next = 1u64;
    let mut alive = Some(());
    loop {
        let job = match first.take() {
            Some(job) => job,
            // What came too late for this connection is kept for the next.
            None => tokio::select! {
                biased;
                _ = &mut ended => break,
                job = jobs.recv() => match job {
                    Some(job) => job,
                    None => { alive = None; break }
                },
            },
        };
        if job.back.as_ref().is_some_and(oneshot::Sender::is_closed) {
            // Its caller has given up, and may have turned to another.
            continue;
        }
        let Ok(frame) = frame::encode(job.kind, next, &job.msg) else { continue };
        if let Some(back) = job.back {
            let mut list = waits.lock().expect("waits");
            list.retain(|_, wait| !wait.is_closed());
            list.insert(next, back);
        }
        next += 1;
        if put(&mut write, &frame).await.is_none() {
            break;
        }
    }
    reader.abort();
    waits.lock().expect("waits").clear();
    alive
}

async fn put(write: &mut OwnedWriteHalf, frame: &[u8]) -> Option<()> {
    use tokio::io::AsyncWriteExt;
    let wait = Duration::from_millis(IO_TIMEOUT_MS);
    time::timeout(wait, write.write_all(frame)).await.ok()?.ok()
}

async fn take(read: &mut OwnedReadHalf) -> Option<(Header, Message)> {
    use tokio::io::AsyncReadExt;
    let mut head = [0; HEADER_BYTES];
    read.read_exact(&mut head).await.ok()?;
    let head = frame::decode_header(&head).ok()?;
    let mut body = vec![0; head.len];
    let wait = Duration::from_millis(2 * IO_TIMEOUT_MS);
    time::timeout(wait, read.read_exact(&mut body)).await.ok()?.ok()?;
    let msg = frame::decode_body(&body).ok()?;
    Some((head, msg))
}

/// How a handler answers or pushes on the connection it was called from.
#[derive(Clone)]
pub struct Responder {
    out: mpsc::Sender<Bytes>,
}

impl Responder {
    /// One whose frames are taken from the other end of `out`.
    pub fn new(out: mpsc::Sender<Bytes>) -> Responder {
        Responder { out }
    }

    /// False: the other side does not read, or is gone.
    pub fn notify(&self, msg: &Message) -> bool {
        self.put(Kind::Notification, 0, msg)
    }

    pub fn reply(&self, id: u64, msg: &Message) -> bool {
        self.put(Kind::Response, id, msg)
    }

    fn put(&self, kind: Kind, id: u64, msg: &Message) -> bool {
        let Ok(frame) = frame::encode(kind, id, msg) else { return false };
        self.notify_frame(frame.into())
    }

    /// A frame that is the same for many: sealed once, never copied.
    pub fn notify_frame(&self, frame: Bytes) -> bool {
        self.out.try_send(frame).is_ok()
    }

    pub fn is_closed(&self) -> bool {
        self.out.is_closed()
    }
}

pub type Handler = Arc<dyn Fn(Responder, u64, Message) + Send + Sync>;

pub async fn serve(listener: TcpListener, handler: Handler) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        socket::configure(&stream, IO_TIMEOUT_MS);
        let handler = handler.clone();
        tokio::spawn(async move {
            let (mut read, mut write) = stream.into_split();
            let (out, mut queue) = mpsc::channel::<Bytes>(BUFFER);
            let mouth = Responder::new(out);
            let writer = tokio::spawn(async move {
                while let Some(frame) = queue.recv().await {
                    if put(&mut write, &frame).await.is_none() {
                        return;
                    }
                }
            });
            while let Some((head, msg)) = take(&mut read).await {
                handler(mouth.clone(), head.id, msg);
            }
            writer.abort();
        });
    }
}

#[cfg(test)]
#[path = "link_tests.rs"]
mod tests;
