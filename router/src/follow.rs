//! Following the controllers: makes the calls that `following` decides on, and takes in what controllers send.

/// Follows until the process ends.
pub async fn run(state: std::sync::Arc<crate::state::State>) {
    let links = crate::follow_links::Links::new(state.env.peer_port());
    let following = crate::following::Following::new(
        *state.currency.budget(),
        &state.env.node_name,
        &state.env.ip,
        &state.env.seed_ips(),
    );
    let mut follower = Follower { state, following, links, seeds_read_at: kernel::clock::now() };
    loop {
        follower.step().await;
    }
}

struct Follower {
    state: std::sync::Arc<crate::state::State>,
    following: crate::following::Following,
    links: crate::follow_links::Links,
    seeds_read_at: u64,
}

impl Follower {
    /// Begins the calls that are due, and takes in the next thing that comes.
    async fn step(&mut self) {
        let now = kernel::clock::now();
        for call in self.following.due(now) {
            self.begin(&call, now);
        }
        let pause = self.following.wake_at(now).saturating_sub(now);
        tokio::select! {
            event = self.links.next() => self.take(event),
            _ = self.state.currency.wanted() => self.following.want_proof(),
            _ = tokio::time::sleep(std::time::Duration::from_millis(pause)) => self.read_seeds(),
        }
    }

    fn begin(&mut self, call: &crate::following::Call, now: u64) {
        let at_home = self.following.home() == Some(&call.controller);
        let standing = crate::follow_absorb::standing(&self.state, at_home);
        let msg = protocol::msg::Msg::Follow(Box::new(standing));
        self.links.call(&call.controller, msg, now, call.deadline_ms);
        if at_home {
            // The connection may be a new one.
            *self.state.home.lock().expect("home") = Some(self.links.caller(&call.controller));
        }
    }

    fn take(&mut self, event: crate::follow_links::Event) {
        match event {
            crate::follow_links::Event::Pushed(msg) => self.take_pushed(msg),
            crate::follow_links::Event::Ended(end) => self.take_end(end),
        }
    }

    fn take_pushed(&mut self, msg: protocol::msg::Msg) {
        if self.links.may_have_dropped() {
            self.following.frames_lost(kernel::clock::now());
        }
        if matches!(msg, protocol::msg::Msg::Rule(_)) {
            // Confirmed at once: somebody waits for it.
            self.following.renew_now();
        }
        crate::follow_absorb::take(&self.state, msg);
    }

    fn take_end(&mut self, end: crate::follow_links::End) {
        let left = self.following.home().map(str::to_string);
        match end.reply {
            Some(protocol::msg::Msg::Renewed(renewed)) => {
                self.absorb(renewed.news.clone(), end.sent);
                let answer = crate::following_answer::Answer::renewed(&renewed, self.held());
                self.answered(&end.controller, &answer);
            }
            Some(protocol::msg::Msg::News(news)) => {
                self.absorb((*news).clone(), end.sent);
                let answer = crate::following_answer::Answer::news(&news, self.held());
                self.answered(&end.controller, &answer);
            }
            _ => {
                self.links.close(&end.controller);
                self.following.failed(kernel::clock::now(), &end.controller);
            }
        }
        if self.following.home() != left.as_deref() {
            self.home_moved(left);
        }
        let following = &self.following;
        self.links.keep(|controller| following.home() == Some(controller) || following.is_open(controller));
    }

    fn held(&self) -> u64 {
        self.state.news.lock().expect("news").config
    }

    fn absorb(&self, news: protocol::msg::News, sent: u64) {
        if news.sure {
            self.state.floors.lock().expect("floors").renew(sent);
        }
        crate::follow_absorb::absorb(&self.state, news);
    }

    fn answered(&mut self, controller: &str, answer: &crate::following_answer::Answer) {
        self.following.answered(kernel::clock::now(), controller, answer);
        if let Some(as_of) = self.following.current_as_of() {
            self.state.currency.prove(as_of);
        }
        if crate::follow_absorb::ready(&self.state) {
            self.following.set_ready();
        }
    }

    fn home_moved(&mut self, left: Option<String>) {
        let home = self.following.home().unwrap_or_default().to_string();
        *self.state.home.lock().expect("home") = Some(self.links.caller(&home));
        kernel::say!(crate::event::HOME, "left" => left.unwrap_or_default(), "home" => home);
        self.reload_seeds();
    }

    /// While nothing is proved the settings may name controllers that are better.
    fn read_seeds(&mut self) {
        let now = kernel::clock::now();
        let every = self.state.currency.budget().bulk_age_ms();
        if !self.state.currency.is_proved(now) && now > self.seeds_read_at + every {
            self.reload_seeds();
        }
    }

    fn reload_seeds(&mut self) {
        self.seeds_read_at = kernel::clock::now();
        if let Ok(env) = kernel::env::load(&kernel::env::path()) {
            self.following.set_seeds(&env.seed_ips());
        }
    }
}

#[cfg(test)]
#[path = "follow_tests.rs"]
mod tests;
