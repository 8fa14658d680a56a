//! Counts a request in the metrics, from its head until its response has been sent or its connection has closed.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll};

use bytes::Bytes;
use http::Response;
use http_body::{Body, Frame, SizeHint};
use kernel::clock;

use crate::frontend::drain::DrainPhase;
use crate::frontend::error_response::{self, Failure};
use crate::metrics::{ArrivalLabels, Connection, Outcome, OutcomeLabels, Stage, StageLabels};
use crate::state::State;

/// Counts a request in the metrics while it is in flight.
///
/// Invariant: the request is counted in one stage at a time. Its end is counted exactly once, on drop: as `Cut` unless
/// the response was sent completely.
pub struct RequestGuard {
    state: Arc<State>,
    /// The phase of the router when the request arrived.
    phase: DrainPhase,
    stage: Stage,
    outcome: Outcome,
    /// When the head was read, in milliseconds of the steady clock.
    started_at_ms: u64,
}

const MS_PER_S: f64 = 1000.0;

impl RequestGuard {
    /// Starts counting a request whose head was just read.
    pub fn start(state: &Arc<State>, connection: Connection) -> RequestGuard {
        let phase = state.drain.phase();
        state.metrics.requests_received.get_or_create(&ArrivalLabels { phase, connection }).inc();
        let stage = Stage::Reading;
        state.metrics.requests_under_way.get_or_create(&StageLabels { phase, stage }).inc();
        RequestGuard { state: state.clone(), phase, stage, outcome: Outcome::Cut, started_at_ms: clock::now() }
    }

    /// Returns the phase of the router in which the request arrived.
    pub fn phase(&self) -> DrainPhase {
        self.phase
    }

    /// Moves the request to a later stage.
    pub fn advance_to(&mut self, stage: Stage) {
        let gauges = &self.state.metrics.requests_under_way;
        gauges.get_or_create(&StageLabels { phase: self.phase, stage: self.stage }).dec();
        gauges.get_or_create(&StageLabels { phase: self.phase, stage }).inc();
        self.stage = stage;
    }

    /// Returns the time since the head was read, in seconds.
    fn age_s(&self) -> f64 {
        (clock::now() - self.started_at_ms) as f64 / MS_PER_S
    }

    /// Tracks the response to its end; `outcome` is recorded once the whole body has been sent.
    pub fn track_response(
        mut self,
        response: Response<error_response::Body>,
        outcome: Outcome,
    ) -> Response<error_response::Body> {
        self.advance_to(Stage::Answering);
        self.state.metrics.first_byte.observe(self.age_s());
        response.map(|body| {
            let remaining_bytes = body.size_hint().exact();
            let mut tracked = TrackedBody { body, remaining_bytes, outcome, guard: self };
            tracked.record_end(remaining_bytes == Some(0));
            error_response::Body::new(tracked)
        })
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let metrics = &self.state.metrics;
        metrics.requests_under_way.get_or_create(&StageLabels { phase: self.phase, stage: self.stage }).dec();
        metrics.requests_ended.get_or_create(&OutcomeLabels { phase: self.phase, outcome: self.outcome }).inc();
        metrics.request_duration.observe(self.age_s());
    }
}

/// A response body together with the guard of its request, which ends with it.
struct TrackedBody {
    body: error_response::Body,
    /// Bytes not sent yet, if the length is known.
    remaining_bytes: Option<u64>,
    /// The outcome to record if the body is sent completely.
    outcome: Outcome,
    guard: RequestGuard,
}

impl TrackedBody {
    /// Records the outcome if the body is complete.
    fn record_end(&mut self, is_complete: bool) {
        if is_complete {
            self.guard.outcome = self.outcome;
        }
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if let Some(Ok(frame)) = &frame {
            let size = frame.data_ref().map_or(0, Bytes::len) as u64;
            self.remaining_bytes = self.remaining_bytes.map(|remaining_bytes| remaining_bytes.saturating_sub(size));
        }
        let is_complete = frame.is_none() || self.remaining_bytes == Some(0);
        self.record_end(is_complete);
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl From<Failure> for Outcome {
    fn from(failure: Failure) -> Outcome {
        match failure {
            Failure::Unavailable(_) => Outcome::Refused,
            Failure::QuotaExceeded(_) => Outcome::OverQuota,
            Failure::RouteNotFound => Outcome::NoRoute,
            Failure::Unauthorized => Outcome::Unauthorized,
            Failure::Malformed | Failure::BodyTimeout | Failure::BodyTooLarge => Outcome::Rejected,
            Failure::ResponseLost | Failure::DeadlineExceeded => Outcome::Lost,
        }
    }
}
