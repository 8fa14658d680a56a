//! HTTP calls of the controller and the command line whose responses are checked before they are used.
//!
//! `reqwest` accepts heads that can be read in two ways, and takes a body whose transfer coding it does not know for
//! complete at the end of the connection. [`send`] returns only responses whose head is valid, and
//! [`Response::read_body`] only bodies that are as long as their head says.

#![deny(missing_docs)]

use protocol::response_framing::{BodyFraming, InvalidResponseHead};
use reqwest::header::HeaderMap;
use reqwest::{RequestBuilder, StatusCode};
use thiserror::Error;

/// Why a call has no usable response. The request may have been executed, unless the connection was not established.
#[derive(Debug, Error)]
pub enum CallError {
    /// The request is invalid, could not be sent, or got no complete response in time.
    #[error(transparent)]
    Transport(#[from] reqwest::Error),
    /// The head of the response is invalid.
    #[error("invalid response: {0}")]
    InvalidHead(#[from] InvalidResponseHead),
    /// The body of the response has another length than stated.
    #[error("incomplete response: {received_bytes} bytes of body, another length than stated")]
    IncompleteBody {
        /// The number of bytes received.
        received_bytes: usize,
    },
    /// The body of the response is longer than the caller reads.
    #[error("response over {max_bytes} bytes")]
    BodyTooLarge {
        /// The limit of the caller.
        max_bytes: usize,
    },
}

impl CallError {
    /// Returns whether the connection was not established, so that nothing was sent.
    pub fn is_connect(&self) -> bool {
        matches!(self, CallError::Transport(error) if error.is_connect())
    }
}

/// A response with a valid head, whose body has not been read yet.
#[derive(Debug)]
pub struct Response {
    inner: reqwest::Response,
    framing: BodyFraming,
}

/// Sends a request and returns the response.
///
/// # Errors
///
/// If there is no response with a valid head.
pub async fn send(request: RequestBuilder) -> Result<Response, CallError> {
    let (client, request) = request.build_split();
    let request = request?;
    let method = request.method().clone();
    let inner = client.execute(request).await?;
    let framing = BodyFraming::of(&method, inner.status(), inner.version(), inner.headers())?;
    Ok(Response { inner, framing })
}

impl Response {
    /// Returns the status.
    pub fn status(&self) -> StatusCode {
        self.inner.status()
    }

    /// Returns the headers.
    pub fn headers(&self) -> &HeaderMap {
        self.inner.headers()
    }

    /// Reads the body. A body without a length is taken for complete if the connection was closed in order.
    ///
    /// # Errors
    ///
    /// If the connection fails, or the body is longer than `max_bytes` or has another length than stated.
    pub async fn read_body(mut self, max_bytes: usize) -> Result<Vec<u8>, CallError> {
        let mut body = Vec::new();
        while let Some(chunk) = self.inner.chunk().await? {
            body.extend_from_slice(&chunk);
            if body.len() > max_bytes {
                return Err(CallError::BodyTooLarge { max_bytes });
            }
        }
        let received_bytes = body.len();
        if self.framing != BodyFraming::UntilClose && !self.framing.is_complete_after(received_bytes as u64) {
            return Err(CallError::IncompleteBody { received_bytes });
        }
        Ok(body)
    }
}

#[cfg(test)]
#[path = "lib_tests.rs"]
mod tests;
