//! Settings of HTTP connections that bound their buffers and the time without progress.

use std::time::Duration;

use hyper::server::conn::http1::Builder;
use hyper_util::rt::TokioTimer;

/// The largest head that internal interfaces accept, in bytes.
pub const DEFAULT_HEAD_BYTES: usize = 16 * 1024;
/// The timeout of internal interfaces for a head, and for the next request on a connection.
pub const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// The capacity of a connection's buffers beyond the largest head, in bytes. The rest of a body or response waits in the
/// socket.
const BODY_BUFFER_BYTES: usize = 8 * 1024;

/// Returns the settings of a server whose requests have heads of at most `head_bytes`. A head that does not arrive
/// within `head_timeout`, or a connection that is idle for so long, is closed.
pub fn builder(head_bytes: usize, head_timeout: Duration) -> Builder {
    let mut builder = Builder::new();
    builder.timer(TokioTimer::new());
    builder.header_read_timeout(head_timeout);
    builder.max_header_size(head_bytes);
    builder.max_buf_size(head_bytes.max(DEFAULT_HEAD_BYTES) + BODY_BUFFER_BYTES);
    builder
}

/// Returns the settings of a server for internal interfaces.
pub fn default_builder() -> Builder {
    builder(DEFAULT_HEAD_BYTES, DEFAULT_HEAD_TIMEOUT)
}
