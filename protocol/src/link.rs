//! Links between daemons. One that calls keeps one connection and redials; one that serves hands
//! each message to a handler. Every wait has a deadline; a full buffer drops and says so.

type Waits = std::collections::HashMap<u64, tokio::sync::oneshot::Sender<crate::msg::Msg>>;

const BUFFER: usize = 512;

/// The calling side. Invariant: `waits` holds only calls whose frame was handed to the connection
/// that is up; when it breaks they all fail at once.
pub struct Caller {
    addr: String,
    send: tokio::sync::mpsc::Sender<Job>,
}

struct Job {
    kind: crate::frame::Kind,
    msg: crate::msg::Msg,
    back: Option<tokio::sync::oneshot::Sender<crate::msg::Msg>>,
}

impl Caller {
    /// Casts that come from the other side go to `news`.
    pub fn start(addr: String, news: Option<tokio::sync::mpsc::Sender<crate::msg::Msg>>) -> Self {
        let (send, jobs) = tokio::sync::mpsc::channel(BUFFER);
        tokio::spawn(run(addr.clone(), jobs, news));
        Caller { addr, send }
    }

    pub fn addr(&self) -> &str {
        &self.addr
    }

    /// None: no answer within `wait_ms`, for whatever cause; it may have been acted on, and is not sent any more
    /// if it was not yet.
    pub async fn call(&self, msg: crate::msg::Msg, wait_ms: u64) -> Option<crate::msg::Msg> {
        let (back, reply) = tokio::sync::oneshot::channel();
        let job = Job { kind: crate::frame::Kind::Ask, msg, back: Some(back) };
        self.send.try_send(job).ok()?;
        let wait = std::time::Duration::from_millis(wait_ms);
        tokio::time::timeout(wait, reply).await.ok()?.ok()
    }

    /// False: dropped here, before it was sent.
    pub fn cast(&self, msg: crate::msg::Msg) -> bool {
        self.send.try_send(Job { kind: crate::frame::Kind::Cast, msg, back: None }).is_ok()
    }
}

async fn run(
    addr: String,
    mut jobs: tokio::sync::mpsc::Receiver<Job>,
    news: Option<tokio::sync::mpsc::Sender<crate::msg::Msg>>,
) {
    let mut first: Option<Job> = None;
    let mut pause = 50;
    loop {
        if first.is_none() {
            let Some(job) = jobs.recv().await else { return };
            first = Some(job);
        }
        let Ok(stream) = crate::sock::dial(&addr, 500, crate::sock::SILENCE_MS).await else {
            first = None;
            while jobs.try_recv().is_ok() {}
            tokio::time::sleep(std::time::Duration::from_millis(pause)).await;
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
    stream: tokio::net::TcpStream,
    mut first: Option<Job>,
    jobs: &mut tokio::sync::mpsc::Receiver<Job>,
    news: &Option<tokio::sync::mpsc::Sender<crate::msg::Msg>>,
) -> Option<()> {
    let (mut read, mut write) = stream.into_split();
    let waits = std::sync::Arc::new(std::sync::Mutex::new(Waits::new()));
    let (over, mut ended) = tokio::sync::oneshot::channel::<()>();
    let (hold, feed) = (waits.clone(), news.clone());
    let reader = tokio::spawn(async move {
        while let Some((head, msg)) = take(&mut read).await {
            if head.kind == crate::frame::Kind::Reply {
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
        if job.back.as_ref().is_some_and(tokio::sync::oneshot::Sender::is_closed) {
            // Its caller has given up, and may have turned to another.
            continue;
        }
        let Ok(frame) = crate::frame::seal(job.kind, next, &job.msg) else { continue };
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

async fn put(write: &mut tokio::net::tcp::OwnedWriteHalf, frame: &[u8]) -> Option<()> {
    use tokio::io::AsyncWriteExt;
    let wait = std::time::Duration::from_millis(crate::sock::SILENCE_MS);
    tokio::time::timeout(wait, write.write_all(frame)).await.ok()?.ok()
}

async fn take(read: &mut tokio::net::tcp::OwnedReadHalf) -> Option<(crate::frame::Head, crate::msg::Msg)> {
    use tokio::io::AsyncReadExt;
    let mut head = [0; crate::frame::HEAD];
    read.read_exact(&mut head).await.ok()?;
    let head = crate::frame::head(&head).ok()?;
    let mut body = vec![0; head.len];
    let wait = std::time::Duration::from_millis(2 * crate::sock::SILENCE_MS);
    tokio::time::timeout(wait, read.read_exact(&mut body)).await.ok()?.ok()?;
    let msg = crate::frame::open(&body).ok()?;
    Some((head, msg))
}

/// How a handler answers or pushes on the connection it was called from.
#[derive(Clone)]
pub struct Mouth {
    out: tokio::sync::mpsc::Sender<bytes::Bytes>,
}

impl Mouth {
    /// One whose frames are taken from the other end of `out`.
    pub fn new(out: tokio::sync::mpsc::Sender<bytes::Bytes>) -> Mouth {
        Mouth { out }
    }

    /// False: the other side does not read, or is gone.
    pub fn cast(&self, msg: &crate::msg::Msg) -> bool {
        self.put(crate::frame::Kind::Cast, 0, msg)
    }

    pub fn reply(&self, id: u64, msg: &crate::msg::Msg) -> bool {
        self.put(crate::frame::Kind::Reply, id, msg)
    }

    fn put(&self, kind: crate::frame::Kind, id: u64, msg: &crate::msg::Msg) -> bool {
        let Ok(frame) = crate::frame::seal(kind, id, msg) else { return false };
        self.cast_frame(frame.into())
    }

    /// A frame that is the same for many: sealed once, never copied.
    pub fn cast_frame(&self, frame: bytes::Bytes) -> bool {
        self.out.try_send(frame).is_ok()
    }

    pub fn gone(&self) -> bool {
        self.out.is_closed()
    }
}

pub type Handler = std::sync::Arc<dyn Fn(Mouth, u64, crate::msg::Msg) + Send + Sync>;

pub async fn serve(listener: tokio::net::TcpListener, handler: Handler) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
            continue;
        };
        crate::sock::tune(&stream, crate::sock::SILENCE_MS);
        let handler = handler.clone();
        tokio::spawn(async move {
            let (mut read, mut write) = stream.into_split();
            let (out, mut queue) = tokio::sync::mpsc::channel::<bytes::Bytes>(BUFFER);
            let mouth = Mouth::new(out);
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
