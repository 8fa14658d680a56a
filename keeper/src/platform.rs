//! The platform's list of engines: one poller an area, within the rate that all daemons share.

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

#[derive(serde::Deserialize)]
struct Page {
    instance_list: Vec<Item>,
    next_token: Option<String>,
}

/// The time between two polls of an area: often enough for `drain_ms`, within the shared rate.
fn pause(env: &kernel::env::Env, pages: usize) -> u64 {
    let areas = env.zones.len().max(1);
    let calls = (areas * pages.max(1)) as f64;
    // Two pollers may overlap while a home changes hands, and the wishes stay under half the rate.
    let floor = (calls * 2000.0 / env.cloud_api.rate_per_s) as u64;
    (env.bounds.drain_ms / 5).clamp(250, 1000).max(floor)
}

/// Time after a start to hear who else is there.
const FIRST_MS: u64 = 160;

pub fn start(hall: &std::sync::Arc<crate::hall::Hall>) {
    let client = reqwest::Client::builder()
        .connect_timeout(std::time::Duration::from_millis(700))
        .timeout(std::time::Duration::from_millis(1500))
        .no_proxy()
        .tcp_nodelay(true)
        .build();
    let Ok(client) = client else { return };
    for area in hall.env.zones.keys() {
        tokio::spawn(run(hall.clone(), client.clone(), area.clone()));
    }
}

async fn run(hall: std::sync::Arc<crate::hall::Hall>, client: reqwest::Client, area: String) {
    let (mut turn, mut polls) = (0, 0u32);
    let mut pages = 1;
    let mut wait = 0;
    loop {
        tokio::time::sleep(std::time::Duration::from_millis(wait)).await;
        wait = pause(&hall.env, pages);
        let now = kernel::clock::now();
        let holder = hall.roster.lock().expect("roster").holder(&area, "list", now);
        if holder != hall.me() || now < FIRST_MS {
            wait = wait.min(FIRST_MS);
            continue;
        }
        // Without rules versions are neither read nor sent.
        let ruled = !hall.board.lock().expect("board").rules.is_empty();
        match poll(&hall, &client, &area, ruled).await {
            Ok((list, weights, count)) => {
                pages = count;
                polls += 1;
                if ruled {
                    crate::rules::seen(&hall, &area, weights, polls % AGAIN == 0);
                }
                let sheet = hall.sheets.lock().expect("sheets").poll(&area, &mut turn, hall.seat, list);
                if let Some(sheet) = sheet {
                    publish(&hall, sheet);
                }
            }
            // Over the rate or silent: what is known stays in force, the next try comes a little later.
            Err(()) => wait = wait * 3 / 2,
        }
    }
}

/// Engine, model, version.
type Weights = Vec<(String, String, u64)>;

/// Versions go out again with every so many polls, for keepers that missed them.
const AGAIN: u32 = 8;

/// How many refusals one poll bears before it is left to the next.
const REFUSED: u32 = 4;

async fn poll(
    hall: &crate::hall::Hall,
    client: &reqwest::Client,
    area: &str,
    ruled: bool,
) -> Result<(Vec<wire::msg::Engine>, Weights, usize), ()> {
    let _turn = hall.polls.acquire().await.map_err(|_| ())?;
    let (mut list, mut weights) = (Vec::new(), Vec::new());
    let mut pages = 0;
    let mut token: Option<String> = None;
    let mut refused = 0;
    let gap = std::time::Duration::from_millis((1000.0 / hall.env.cloud_api.rate_per_s) as u64);
    loop {
        let mut url = format!("http://{}/instances?zone={area}", hall.env.cloud_api.address);
        if let Some(token) = &token {
            url.push_str(&format!("&page_token={token}"));
        }
        let reply = client.get(url).send().await.map_err(|_| ())?;
        if reply.status() == reqwest::StatusCode::TOO_MANY_REQUESTS && refused < REFUSED {
            // Over the shared rate: the same page again, what was read of the list stays.
            refused += 1;
            tokio::time::sleep(gap * refused * 2).await;
            continue;
        }
        if reply.status() != reqwest::StatusCode::OK {
            return Err(());
        }
        let body = reply.bytes().await.map_err(|_| ())?;
        let page: Page = serde_json::from_slice(&body).map_err(|_| ())?;
        for item in page.instance_list.iter().filter(|_| ruled) {
            let models = item.model_list.iter();
            weights.extend(models.map(|model| (item.instance_id.clone(), model.name.clone(), model.revision)));
        }
        list.extend(page.instance_list.into_iter().map(engine));
        pages += 1;
        token = page.next_token.filter(|token| !token.is_empty());
        if token.is_none() || pages >= 1000 {
            return Ok((list, weights, pages));
        }
        tokio::time::sleep(gap).await;
    }
}

fn engine(item: Item) -> wire::msg::Engine {
    wire::msg::Engine {
        id: item.instance_id,
        service: item.service,
        addr: item.address,
        area: item.zone,
        phase: item.phase,
        model: item.model_list.into_iter().next().map(|model| model.name).unwrap_or_default(),
        slots: item.slot_count,
        up: item.oper_state == "up",
        cold_ms: item.ramp_left_ms.clamp(0.0, 1e9).ceil() as u32,
    }
}

fn publish(hall: &crate::hall::Hall, sheet: wire::msg::Sheet) {
    kernel::say!(crate::event::LIST, "area" => sheet.area.clone(), "turn" => sheet.turn, "count" => sheet.count,
        "up" => sheet.list.iter().filter(|engine| engine.up).count(), "all" => sheet.list.len(),
        "prefill" => sheet.list.iter().filter(|engine| engine.up && engine.phase == "prefill").count());
    prune(hall, &sheet);
    for ip in hall.known() {
        hall.fellow(&ip).cast(wire::msg::Msg::Sheet(Box::new(sheet.clone())));
    }
    hall.push();
}

/// Draining engines leave the catalog's answers at once.
pub fn prune(hall: &crate::hall::Hall, sheet: &wire::msg::Sheet) {
    let mut desk = hall.shelf.lock().expect("shelf");
    for engine in sheet.list.iter().filter(|engine| !engine.up) {
        desk.shelf.drop_engine(&engine.id);
    }
}
