//! The platform's engine list in its wire format, and the pages of one zone combined into a listing.

use std::mem;

use load_balancing::ObservedVersion;
use protocol::message::{Engine, EngineWeights};

use crate::discovery::version_lists::ListedEngine;

#[derive(serde::Deserialize)]
struct Model {
    #[serde(default)]
    name: String,
    #[serde(default)]
    revision: u64,
}

#[derive(serde::Deserialize)]
struct Instance {
    instance_id: String,
    service: String,
    address: String,
    #[serde(default)]
    zone: String,
    /// The version of the engine's software.
    #[serde(default)]
    revision: String,
    #[serde(default)]
    slot_count: u32,
    #[serde(default)]
    oper_state: String,
    #[serde(default)]
    ramp_left_ms: f64,
    #[serde(default)]
    phase: String,
    #[serde(default)]
    model_list: Vec<Model>,
}

/// One page as the platform sends it.
#[derive(serde::Deserialize)]
pub struct Page {
    instance_list: Vec<Instance>,
    /// The token to request the next page with; `None` or empty on the last page.
    pub next_token: Option<String>,
}

/// The weight version of each model on each engine.
pub type Weights = Vec<EngineWeights>;

/// The engines of a zone as read by one poll, from all pages.
pub struct Listing {
    /// All engines, in the platform's order, with the time at which their page was read.
    engines: Vec<(ListedEngine, u64)>,
    /// The weight versions of the engines; empty if not requested.
    pub weights: Weights,
    /// The number of pages read.
    pub pages: usize,
    /// The list version that was known before the first page was requested.
    pub known: ObservedVersion,
}

impl Listing {
    /// Creates an empty listing.
    pub fn new(known: ObservedVersion) -> Listing {
        Listing { engines: Vec::new(), weights: Vec::new(), pages: 0, known }
    }

    /// Adds one page that was read at `now`. `wants_weights` tells whether to keep the weight versions.
    pub fn add(&mut self, page: Page, wants_weights: bool, now: u64) {
        for instance in page.instance_list.iter().filter(|_| wants_weights) {
            let models = instance.model_list.iter();
            self.weights.extend(models.map(|model| EngineWeights {
                engine: instance.instance_id.clone(),
                model: model.name.clone(),
                version: model.revision,
            }));
        }
        self.engines.extend(page.instance_list.into_iter().map(|instance| (listed_engine(instance), now)));
        self.pages += 1;
    }

    /// Returns all engines, in the platform's order, with the times for which they stay cold from `now` on. An engine
    /// that was cold when its page was read stays so for at least 1 ms.
    pub fn engines_as_of(&mut self, now: u64) -> Vec<ListedEngine> {
        let as_of_now = |(mut listed, read_at): (ListedEngine, u64)| {
            let age_ms = u32::try_from(now.saturating_sub(read_at)).unwrap_or(u32::MAX);
            if listed.engine.cold_ms > 0 {
                listed.engine.cold_ms = listed.engine.cold_ms.saturating_sub(age_ms).max(1);
            }
            listed
        };
        mem::take(&mut self.engines).into_iter().map(as_of_now).collect()
    }
}

fn listed_engine(instance: Instance) -> ListedEngine {
    let engine = Engine {
        id: instance.instance_id,
        service: instance.service,
        addr: instance.address,
        zone: instance.zone,
        phase: instance.phase,
        model: instance.model_list.into_iter().next().map(|model| model.name).unwrap_or_default(),
        slots: instance.slot_count,
        up: instance.oper_state == "up",
        cold_ms: instance.ramp_left_ms.clamp(0.0, 1e9).ceil() as u32,
    };
    ListedEngine { engine, version: instance.revision }
}
