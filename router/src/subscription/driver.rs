//! Following the controllers: makes the calls that `following` decides on, and takes in what controllers send.

use std::sync::Arc;
use std::time::Duration;

use kernel::{clock, settings};
use protocol::message::{Message, StateUpdate};
use tokio::time;

use crate::event::HOME_CONTROLLER_CHANGED;
use crate::state::State;
use crate::subscription::apply_update;
use crate::subscription::links::{End, Event, Links};
use crate::subscription::response::Answer;
use crate::subscription::scheduler::{Call, Following};

/// Follows until the process ends.
pub async fn run(state: Arc<State>) {
    let links = Links::new(state.settings.peer_port());
    let following = Following::new(
        *state.freshness.budget(),
        &state.settings.node_name,
        &state.settings.ip,
        &state.settings.seed_ips(),
    );
    let mut follower = Follower { state, following, links, seeds_read_at: clock::now() };
    loop {
        follower.step().await;
    }
}

struct Follower {
    state: Arc<State>,
    following: Following,
    links: Links,
    seeds_read_at: u64,
}

impl Follower {
    /// Begins the calls that are due, and takes in the next thing that comes.
    async fn step(&mut self) {
        let now = clock::now();
        for call in self.following.due(now) {
            self.begin(&call, now);
        }
        let pause = self.following.wake_at(now).saturating_sub(now);
        tokio::select! {
            event = self.links.next() => self.take(event),
            _ = self.state.freshness.wanted() => self.following.want_proof(),
            _ = time::sleep(Duration::from_millis(pause)) => self.read_seeds(),
        }
    }

    fn begin(&mut self, call: &Call, now: u64) {
        let at_home = self.following.home() == Some(&call.controller);
        let standing = apply_update::standing(&self.state, at_home);
        let msg = Message::SubscriptionRenewal(Box::new(standing));
        self.links.call(&call.controller, msg, now, call.deadline_ms);
        if at_home {
            // The connection may be a new one.
            *self.state.home_controller() = Some(self.links.caller(&call.controller));
        }
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Pushed(msg) => self.take_pushed(msg),
            Event::Ended(end) => self.take_end(end),
        }
    }

    fn take_pushed(&mut self, msg: Message) {
        if self.links.may_have_dropped() {
            self.following.frames_lost(clock::now());
        }
        if matches!(msg, Message::StalenessLimit(_)) {
            // Confirmed at once: somebody waits for it.
            self.following.renew_now();
        }
        apply_update::take(&self.state, msg);
    }

    fn take_end(&mut self, end: End) {
        let left = self.following.home().map(str::to_string);
        match end.reply {
            Some(Message::SubscriptionRenewed(renewed)) => {
                self.absorb(renewed.update.clone(), end.sent);
                let answer = Answer::renewed(&renewed, self.held());
                self.answered(&end.controller, &answer);
            }
            Some(Message::StateUpdate(news)) => {
                self.absorb((*news).clone(), end.sent);
                let answer = Answer::news(&news, self.held());
                self.answered(&end.controller, &answer);
            }
            _ => {
                self.links.close(&end.controller);
                self.following.failed(clock::now(), &end.controller);
            }
        }
        if self.following.home() != left.as_deref() {
            self.home_moved(left);
        }
        let following = &self.following;
        self.links.keep(|controller| following.home() == Some(controller) || following.is_open(controller));
    }

    fn held(&self) -> u64 {
        self.state.subscribed().config_revision
    }

    fn absorb(&self, news: StateUpdate, sent: u64) {
        if news.confirmed {
            self.state.staleness_bounds().renew_lease(sent);
        }
        apply_update::absorb(&self.state, news);
    }

    fn answered(&mut self, controller: &str, answer: &Answer) {
        self.following.answered(clock::now(), controller, answer);
        if let Some(as_of) = self.following.current_as_of() {
            self.state.freshness.prove(as_of);
        }
        if apply_update::ready(&self.state) {
            self.following.set_ready();
        }
    }

    fn home_moved(&mut self, left: Option<String>) {
        let home = self.following.home().unwrap_or_default().to_string();
        *self.state.home_controller() = Some(self.links.caller(&home));
        kernel::log_event!(HOME_CONTROLLER_CHANGED, "left" => left.unwrap_or_default(), "home" => home);
        self.reload_seeds();
    }

    /// While nothing is proved the settings may name controllers that are better.
    fn read_seeds(&mut self) {
        let now = clock::now();
        let every = self.state.freshness.budget().bulk_age_ms();
        if !self.state.freshness.is_proved(now) && now > self.seeds_read_at + every {
            self.reload_seeds();
        }
    }

    fn reload_seeds(&mut self) {
        self.seeds_read_at = clock::now();
        if let Ok(settings) = settings::load(&settings::path()) {
            self.following.set_seeds(&settings.seed_ips());
        }
    }
}

#[cfg(test)]
#[path = "driver_tests.rs"]
mod tests;
