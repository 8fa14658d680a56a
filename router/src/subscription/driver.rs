//! Following the controllers: makes the calls that `following` decides on, and takes in what controllers send.

use std::sync::Arc;
use std::time::Duration;

use kernel::{clock, settings};
use protocol::message::{Message, StateUpdate};
use tokio::time;

use crate::event::HOME;
use crate::state::State;
use crate::subscription::apply_update;
use crate::subscription::links::{Event, FinishedCall, Links};
use crate::subscription::response::RenewalResponse;
use crate::subscription::scheduler::{Call, SubscriptionScheduler};

/// Follows until the process ends.
pub async fn run(state: Arc<State>) {
    let links = Links::new(state.settings.peer_port());
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

struct Subscriber {
    state: Arc<State>,
    scheduler: SubscriptionScheduler,
    links: Links,
    seeds_read_at: u64,
}

impl Subscriber {
    /// Begins the calls that are due, and takes in the next thing that comes.
    async fn run_step(&mut self) {
        let now = clock::now();
        for call in self.scheduler.due_calls(now) {
            self.begin_call(&call, now);
        }
        let pause = self.scheduler.wake_at(now).saturating_sub(now);
        tokio::select! {
            event = self.links.next_event() => self.handle_event(event),
            _ = self.state.freshness.wanted() => self.scheduler.request_proof(),
            _ = time::sleep(Duration::from_millis(pause)) => self.reload_seeds_if_unproved(),
        }
    }

    fn begin_call(&mut self, call: &Call, now: u64) {
        let is_home = self.scheduler.home() == Some(&call.controller);
        let renewal = apply_update::build_renewal(&self.state, is_home);
        let msg = Message::SubscriptionRenewal(Box::new(renewal));
        self.links.call(&call.controller, msg, now, call.timeout_ms);
        if is_home {
            // The connection may be a new one.
            *self.state.home_controller.lock() = Some(self.links.client(&call.controller));
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Pushed(msg) => self.handle_push(msg),
            Event::CallFinished(finished) => self.handle_finished_call(finished),
        }
    }

    fn handle_push(&mut self, msg: Message) {
        if self.links.may_have_dropped() {
            self.scheduler.on_frames_lost(clock::now());
        }
        if matches!(msg, Message::StalenessLimit(_)) {
            // Confirmed at once: somebody waits for it.
            self.scheduler.renew_now();
        }
        apply_update::apply_message(&self.state, msg);
    }

    fn handle_finished_call(&mut self, finished: FinishedCall) {
        let previous_home = self.scheduler.home().map(str::to_string);
        match finished.reply {
            Some(Message::SubscriptionRenewed(renewed)) => {
                self.apply_state_update(renewed.update.clone(), finished.sent_at);
                let response = RenewalResponse::from_renewal(&renewed, self.held_revision());
                self.record_response(&finished.controller, &response);
            }
            Some(Message::StateUpdate(update)) => {
                self.apply_state_update((*update).clone(), finished.sent_at);
                let response = RenewalResponse::from_state_update(&update, self.held_revision());
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

    fn held_revision(&self) -> u64 {
        self.state.subscribed.lock().config_revision
    }

    fn apply_state_update(&self, update: StateUpdate, sent_at: u64) {
        if update.confirmed {
            self.state.staleness_bounds.lock().renew_lease(sent_at);
        }
        apply_update::apply_state_update(&self.state, update);
    }

    fn record_response(&mut self, controller: &str, response: &RenewalResponse) {
        self.scheduler.on_response(clock::now(), controller, response);
        if let Some(as_of) = self.scheduler.current_as_of() {
            self.state.freshness.prove(as_of);
        }
        if apply_update::update_readiness(&self.state) {
            self.scheduler.set_ready();
        }
    }

    fn on_home_changed(&mut self, previous_home: Option<String>) {
        let home = self.scheduler.home().unwrap_or_default().to_string();
        *self.state.home_controller.lock() = Some(self.links.client(&home));
        kernel::log_event!(HOME, "left" => previous_home.unwrap_or_default(), "home" => home);
        self.reload_seeds();
    }

    /// While nothing is proved the settings may name controllers that are better.
    fn reload_seeds_if_unproved(&mut self) {
        let now = clock::now();
        let every = self.state.freshness.budget().bulk_age_ms();
        if !self.state.freshness.is_proved(now) && now > self.seeds_read_at + every {
            self.reload_seeds();
        }
    }

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
