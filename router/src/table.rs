//! The configuration in force, made for look-ups: names are dense indices from here on.

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Idempotent,
    NonIdempotent,
    Streaming,
}

/// Invariant: `targets` is not empty and its weights sum to more than 0.
pub struct Route {
    pub prefix: String,
    pub kind: Kind,
    pub resumable: bool,
    pub timeout_ms: u64,
    pub target_ms: u64,
    pub priority: u32,
    pub tries: u32,
    pub targets: Vec<(u32, u64)>,
    pub homes: Vec<String>,
}

impl Route {
    /// May it run more than once?
    pub fn repeatable(&self) -> bool {
        self.kind == Kind::Idempotent || (self.kind == Kind::Streaming && self.resumable)
    }
}

#[derive(Clone, Debug, Default)]
pub struct Service {
    pub connections: u32,
    pub ramp_per_s: f64,
    pub hold_ms: u64,
}

/// Invariant: routes of a host stand longest prefix first.
#[derive(Default)]
pub struct Table {
    pub revision: u64,
    /// Has a request been read under it yet?
    pub seen: std::sync::atomic::AtomicBool,
    hosts: std::collections::HashMap<String, Vec<Route>>,
    pub services: std::collections::HashMap<u32, Service>,
    pub header_bytes: usize,
    pub body_bytes: usize,
    pub header_ms: u64,
    pub idle_ms: u64,
}

impl Table {
    pub fn make(config: &wire::config::Config, park: &mut engines::park::Park) -> Table {
        let mut table = Table {
            revision: config.revision,
            header_bytes: config.limits.max_header_bytes as usize,
            body_bytes: config.limits.max_body_bytes as usize,
            header_ms: config.limits.header_timeout_ms,
            idle_ms: config.limits.idle_timeout_ms,
            ..Table::default()
        };
        for service in &config.service_table {
            let engine = service.engine.as_ref();
            let made = Service {
                connections: service.max_connections,
                ramp_per_s: service.ramp_per_s,
                hold_ms: engine.map_or(0, |engine| (engine.kv_hold_s * 1000.0) as u64),
            };
            table.services.insert(park.service(&service.name), made);
        }
        for route in &config.route_table {
            let kind = match route.route_type.as_str() {
                "idempotent" => Kind::Idempotent,
                "streaming" => Kind::Streaming,
                _ => Kind::NonIdempotent,
            };
            let targets = wire::config::targets(route).into_iter().map(|(name, weight)| (park.service(name), weight));
            let made = Route {
                prefix: route.path_prefix.clone(),
                kind,
                resumable: route.resumable,
                timeout_ms: route.timeout_ms,
                target_ms: route.target_ms,
                priority: route.priority,
                tries: route.retry_count.max(1),
                targets: targets.collect(),
                homes: route.allowed_regions.clone(),
            };
            table.hosts.entry(route.hostname.to_ascii_lowercase()).or_default().push(made);
        }
        for list in table.hosts.values_mut() {
            list.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        table
    }

    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.to_ascii_lowercase();
        let list = self.hosts.get(&host).or_else(|| self.hosts.get(host.rsplit_once(':')?.0))?;
        list.iter().find(|route| path.starts_with(&route.prefix))
    }
}

/// Picks by weight; a service of weight 0 is never picked.
pub fn split(targets: &[(u32, u64)], roll: u64) -> u32 {
    let sum: u64 = targets.iter().map(|(_, weight)| weight).sum();
    let mut left = roll % sum.max(1);
    for (service, weight) in targets {
        if left < *weight {
            return *service;
        }
        left -= weight;
    }
    targets[0].0
}

#[cfg(test)]
mod tests {
    fn config() -> wire::config::Config {
        let route = |name: &str, prefix: &str, service: &str| {
            serde_json::json!({"name": name, "hostname": "A.example", "path_prefix": prefix, "route_type": "streaming",
                "timeout_ms": 5, "service": service})
        };
        let text = serde_json::json!({"revision": 1, "route_table": [route("1", "/", "s"), route("2", "/x/y/", "t"), route("3", "/x/", "u")],
            "service_table": [{"name": "s"}, {"name": "t"}, {"name": "u"}]});
        wire::config::read(&text.to_string()).expect("good")
    }

    #[test]
    fn the_longest_prefix_of_the_host_wins() {
        let mut park = engines::park::Park::default();
        let table = super::Table::make(&config(), &mut park);
        let service = |host: &str, path: &str| table.find(host, path).map(|route| route.targets[0].0);
        assert_eq!(service("a.example", "/x/y/z"), Some(park.service("t")));
        assert_eq!(service("a.example:80", "/x/z"), Some(park.service("u")));
        assert_eq!(service("a.example", "/x"), Some(park.service("s")));
        assert_eq!(service("b.example", "/x/"), None);
    }

    #[test]
    fn weights_split_and_zero_is_never_picked() {
        let targets = [(0, 0), (1, 90), (2, 10)];
        let count = (0..100).filter(|roll| super::split(&targets, *roll) == 1).count();
        assert_eq!(count, 90);
        assert!((0..200).all(|roll| super::split(&targets, roll) != 0));
    }
}
