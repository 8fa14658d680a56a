//! The task that keeps the subscription alive: it makes the calls that `scheduler` decides on, and applies the updates
//! that controllers send.

use std::sync::Arc;
use std::time::Duration;

use kernel::{clock, settings};
use protocol::message::{Message, StateUpdate};
use tokio::time;

use crate::event::HOME_CONTROLLER_CHANGED;
use crate::state::State;
use crate::subscription::apply_update;
use crate::subscription::links::{Event, FinishedCall, Links};
use crate::subscription::response::RenewalResponse;
use crate::subscription::scheduler::{Call, SubscriptionScheduler};

/// Keeps the subscription alive until the process ends.
pub async fn run(state: Arc<State>) {
    let links = Links::new(state.dialer(), state.settings.peer_port());
    let scheduler = SubscriptionScheduler::new(
        *state.freshness.budget(),
        &state.settings.node_name,
        &state.settings.ip,
        &state.settings.seed_ips(),
    );
    let mut subscriber = Subscriber { state, scheduler, links, seeds_read_at: clock::now() };
    loop {
        subscriber.run_step().await;
    }
}

/// Connects the scheduler to the connections to controllers and to the router's state.
struct Subscriber {
    state: Arc<State>,
    scheduler: SubscriptionScheduler,
    links: Links,
    seeds_read_at: u64,
}

impl Subscriber {
    /// Starts the calls that are due, then waits for one event or the next deadline and handles it.
    async fn run_step(&mut self) {
        let now = clock::now();
        for call in self.scheduler.due_calls(now) {
            self.start_call(&call, now);
        }
        let wait_ms = self.scheduler.wake_at(now).saturating_sub(now);
        tokio::select! {
            event = self.links.next_event() => self.handle_event(event),
            _ = self.state.freshness.proof_wanted() => self.scheduler.request_proof(),
            _ = time::sleep(Duration::from_millis(wait_ms)) => self.reload_seeds_if_unproved(),
        }
    }

    /// Sends a renewal to a controller.
    fn start_call(&mut self, call: &Call, now: u64) {
        let is_home = self.scheduler.home() == Some(&call.controller);
        let renewal = apply_update::build_renewal(&self.state, is_home);
        let msg = Message::SubscriptionRenewal(Box::new(renewal));
        self.links.call(&call.controller, msg, now, call.timeout_ms);
        if is_home {
            // The connection may have been reopened since the last call.
            *self.state.home_controller() = Some(self.links.client(&call.controller));
        }
    }

    /// Handles a push or the end of a call.
    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Pushed(msg) => self.handle_push(msg),
            Event::CallFinished(finished) => self.handle_finished_call(finished),
        }
    }

    /// Applies a message that a controller pushed.
    fn handle_push(&mut self, msg: Message) {
        if self.links.may_have_dropped() {
            self.scheduler.on_frames_lost(clock::now());
        }
        if matches!(msg, Message::StalenessLimit(_)) {
            // Renewed at once, because the controller waits for the router to confirm the limit.
            self.scheduler.renew_now();
        }
        apply_update::apply_message(&self.state, msg);
    }

    /// Applies the response to a call or records its failure, then closes the connections that are no longer needed.
    fn handle_finished_call(&mut self, finished: FinishedCall) {
        let previous_home = self.scheduler.home().map(str::to_string);
        match finished.reply {
            Some(Message::SubscriptionRenewed(renewed)) => {
                self.apply_state_update(renewed.update.clone(), finished.sent_at);
                let response = RenewalResponse::from_renewal(&renewed, self.applied_revision());
                self.record_response(&finished.controller, &response);
            }
            Some(Message::StateUpdate(update)) => {
                self.apply_state_update((*update).clone(), finished.sent_at);
                let response = RenewalResponse::from_state_update(&update, self.applied_revision());
                self.record_response(&finished.controller, &response);
            }
            _ => {
                self.links.close(&finished.controller);
                self.scheduler.on_failure(clock::now(), &finished.controller);
            }
        }
        if self.scheduler.home() != previous_home.as_deref() {
            self.on_home_changed(previous_home);
        }
        let scheduler = &self.scheduler;
        self.links.retain(|controller| scheduler.home() == Some(controller) || scheduler.has_open_call(controller));
    }

    /// Returns the revision of the configuration in force.
    fn applied_revision(&self) -> u64 {
        self.state.subscribed().config_revision
    }

    /// Applies a state update. A confirmed one renews the lease of the staleness limits, as of the start of the
    /// call and not of its response.
    fn apply_state_update(&self, update: StateUpdate, sent_at: u64) {
        if update.confirmed {
            self.state.staleness_bounds().renew_lease(sent_at);
        }
        apply_update::apply_state_update(&self.state, update);
    }

    /// Reports a response to the scheduler, then publishes the new proof and updates the readiness.
    fn record_response(&mut self, controller: &str, response: &RenewalResponse) {
        self.scheduler.on_response(clock::now(), controller, response);
        if let Some(as_of) = self.scheduler.current_as_of() {
            self.state.freshness.prove(as_of);
        }
        if apply_update::update_readiness(&self.state) {
            self.scheduler.set_ready();
        }
    }

    /// Publishes the new home controller and reloads the seeds.
    fn on_home_changed(&mut self, previous_home: Option<String>) {
        let home = self.scheduler.home().unwrap_or_default().to_string();
        *self.state.home_controller() = Some(self.links.client(&home));
        kernel::log_event!(HOME_CONTROLLER_CHANGED, "left" => previous_home.unwrap_or_default(), "home" => home);
        self.reload_seeds();
    }

    /// Reloads the seeds at intervals while there is no fresh proof: the settings file may name other controllers.
    fn reload_seeds_if_unproved(&mut self) {
        let now = clock::now();
        let interval_ms = self.state.freshness.budget().bulk_age_ms();
        if !self.state.freshness.is_proved(now) && now > self.seeds_read_at + interval_ms {
            self.reload_seeds();
        }
    }

    /// Reloads the seed controllers from the settings file; a file that cannot be loaded changes nothing.
    fn reload_seeds(&mut self) {
        self.seeds_read_at = clock::now();
        if let Ok(settings) = settings::load(&settings::path()) {
            self.scheduler.set_seeds(&settings.seed_ips());
        }
    }
}

#[cfg(test)]
#[path = "driver_tests.rs"]
mod tests;
