//! The memory of a read prompt, held for one request.

/// The memory of a read prompt. Invariants: it serves this request only, is taken once, and is
/// never named after `until`.
pub struct Handle {
    pub at: usize,
    /// The engine that holds it.
    pub reader: crate::pool::Endpoint,
    pub id: String,
    pub until: u64,
}

impl crate::trip::Trip {
    /// The engine whose memory is held.
    pub fn reader(&self) -> Option<usize> {
        self.handle.as_ref().map(|handle| handle.at)
    }

    pub fn keep(&mut self, handle: Handle) {
        self.free();
        self.handle = Some(handle);
    }

    /// The handle, if it may still be named. It is out of our hands from here on.
    pub fn spend(&mut self) -> Option<Handle> {
        let now = kernel::clock::now();
        let good = self.handle.as_ref().is_some_and(|handle| {
            let park = self.yard.park.lock().expect("park");
            let stall = &park.list[handle.at];
            now < handle.until && stall.here && !self.shut.contains(&stall.area)
        });
        if !good {
            self.free();
        }
        self.handle.take()
    }

    /// Memory that nobody will take is given free at once.
    pub fn free(&mut self) {
        let Some(handle) = self.handle.take() else { return };
        let yard = self.yard.clone();
        let most = self.most();
        tokio::spawn(async move { crate::send::free(&yard, &handle, most).await });
    }
}
