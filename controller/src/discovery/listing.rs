//! The platform's list of engines as it comes: pages, put together to one reading of a zone.

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
struct Item {
    instance_id: String,
    service: String,
    address: String,
    #[serde(default)]
    zone: String,
    /// Of its software.
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
    instance_list: Vec<Item>,
    /// To be sent for the next page; None or empty: this is the last.
    pub next_token: Option<String>,
}

/// The version of each model on each engine.
pub type Weights = Vec<EngineWeights>;

/// One complete reading of a zone's list.
pub struct Listing {
    /// All engines in the order of the platform.
    pub engines: Vec<ListedEngine>,
    /// The versions of their weights, where wanted.
    pub weights: Weights,
    /// How many pages were read.
    pub pages: usize,
    /// What was known of this list before the first page was asked for.
    pub known: ObservedVersion,
}

impl Listing {
    /// Returns a listing of which nothing is read yet.
    pub fn new(known: ObservedVersion) -> Listing {
        Listing { engines: Vec::new(), weights: Vec::new(), pages: 0, known }
    }

    /// Adds one page. `versions`: whether weight versions are wanted.
    pub fn add(&mut self, page: Page, versions: bool) {
        for item in page.instance_list.iter().filter(|_| versions) {
            let models = item.model_list.iter();
            self.weights.extend(models.map(|model| EngineWeights {
                engine: item.instance_id.clone(),
                model: model.name.clone(),
                version: model.revision,
            }));
        }
        self.engines.extend(page.instance_list.into_iter().map(engine));
        self.pages += 1;
    }
}

fn engine(item: Item) -> ListedEngine {
    let engine = Engine {
        id: item.instance_id,
        service: item.service,
        addr: item.address,
        zone: item.zone,
        phase: item.phase,
        model: item.model_list.into_iter().next().map(|model| model.name).unwrap_or_default(),
        slots: item.slot_count,
        up: item.oper_state == "up",
        cold_ms: item.ramp_left_ms.clamp(0.0, 1e9).ceil() as u32,
    };
    ListedEngine { engine, version: item.revision }
}
