//! Authorization: whether a request may be sent to an engine, and on behalf of which tenant. It is checked at
//! admission, and again before each send, since keys may be revoked in between.

use std::sync::Arc;

use http::header::AUTHORIZATION;
use http::HeaderMap;
use protocol::headers::TENANT;

use crate::config::routing_table::{Route, RoutingTable};
use crate::config::tenants::{KeyDigest, Tenant};
use crate::proxy::exchange::Exchange;

/// The only supported scheme: `Authorization: Bearer KEY`.
const BEARER_SCHEME: &[u8] = b"bearer";

/// Returns the digest of a request's API key; `None` unless there is exactly one, in the supported scheme.
pub fn api_key_digest(headers: &HeaderMap) -> Option<KeyDigest> {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let value = values.next()?.as_bytes().trim_ascii();
    if values.next().is_some() {
        return None;
    }
    let end = value.iter().position(u8::is_ascii_whitespace)?;
    let (scheme, key) = (&value[..end], value[end..].trim_ascii());
    (scheme.eq_ignore_ascii_case(BEARER_SCHEME) && !key.is_empty()).then(|| KeyDigest::of(key))
}

/// The route requires an API key, and the request has no known one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownKey;

/// The result of authorizing a request: it is sent on behalf of this tenant or not at all.
pub struct Authorization {
    key: Option<KeyDigest>,
    /// The route, as defined by the routing table that admitted the request.
    route: Arc<Route>,
    /// `None` if no tenants are configured, or the route is anonymous and the request has no known key.
    tenant: Option<Arc<Tenant>>,
}

impl Authorization {
    /// Authorizes a request against a routing table.
    ///
    /// # Errors
    /// `UnknownKey` if the route requires a key and the request has no known one.
    pub fn grant(
        table: &RoutingTable,
        route: &Arc<Route>,
        key: Option<KeyDigest>,
    ) -> Result<Authorization, UnknownKey> {
        let tenant = tenant_of_key(table, route.anonymous, key.as_ref())?.cloned();
        Ok(Authorization { key, route: route.clone(), tenant })
    }

    /// Returns whether the request would still be admitted for the same tenant and the same regions. A key may be
    /// revoked or assigned to another tenant while the request waits.
    pub fn is_still_valid(&self, table: &RoutingTable) -> bool {
        let anonymous = table.route(&self.route.name).unwrap_or(&self.route).anonymous;
        match (tenant_of_key(table, anonymous, self.key.as_ref()), &self.tenant) {
            (Err(UnknownKey), _) => false,
            (Ok(current), granted) => {
                current.map(|current| (&current.name, &current.allowed_regions))
                    == granted.as_ref().map(|granted| (&granted.name, &granted.allowed_regions))
            }
        }
    }

    /// Returns the tenant, if the request has one.
    pub fn tenant(&self) -> Option<&Tenant> {
        self.tenant.as_deref()
    }

    /// Returns the route that matched the request at admission.
    pub fn route(&self) -> &Arc<Route> {
        &self.route
    }

    /// Returns the priority of the request: that of its tenant if configured, else that of its route.
    pub fn priority(&self) -> u32 {
        self.tenant.as_ref().and_then(|tenant| tenant.priority).unwrap_or(self.route.priority)
    }

    /// Returns the region allowlists of the route and of the tenant. Both apply; an empty list allows every region.
    pub fn allowed_regions(&self) -> [&[String]; 2] {
        let tenant = self.tenant.as_ref().map_or(&[][..], |tenant| &tenant.allowed_regions);
        [&self.route.allowed_regions, tenant]
    }

    /// Removes the API key, which must not reach an engine, and replaces any tenant that the client named.
    pub fn rewrite_headers(&self, headers: &mut HeaderMap) {
        headers.remove(AUTHORIZATION);
        headers.remove(TENANT);
        if let Some(name) = self.tenant.as_ref().and_then(|tenant| tenant.header.clone()) {
            headers.insert(TENANT, name);
        }
    }
}

/// Returns the tenant of a key; `None` if none is needed. A known key selects its tenant on an anonymous route too.
fn tenant_of_key<'a>(
    table: &'a RoutingTable,
    anonymous: bool,
    key: Option<&KeyDigest>,
) -> Result<Option<&'a Arc<Tenant>>, UnknownKey> {
    let tenant = key.and_then(|key| table.tenants.find_by_key(key));
    if tenant.is_some() || anonymous || !table.tenants.requires_keys() {
        return Ok(tenant);
    }
    Err(UnknownKey)
}

impl Exchange {
    /// Returns whether the request may still be sent to an engine.
    pub fn is_authorized(&self) -> bool {
        self.request.authorization.is_still_valid(&self.state.table())
    }
}

#[cfg(test)]
#[path = "authorization_tests.rs"]
mod tests;
