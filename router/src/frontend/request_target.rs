//! The request target (RFC 9112, section 3.2): which forms are accepted, and what is sent to engines.
//!
//! Engines get the path and the query of the client's target, byte for byte. A target that cannot be sent like that, or
//! that names another host than the request's `Host`, is refused.

use http::header::HOST;
use http::request::Parts;
use http::uri::{Authority, PathAndQuery, Scheme};
use http::{Method, Uri};

/// A target that violates HTTP or can be read in two ways.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MalformedTarget;

/// Returns the target in origin form: the path and the query, where an absolute target without a path has the path `/`
/// (RFC 3986, section 6.2.3).
///
/// # Errors
///
/// If the target is neither in origin form, nor the asterisk of an `OPTIONS` request, nor an absolute `http` or `https`
/// URI of the host that `Host` names.
pub fn origin_form(parts: &Parts) -> Result<Uri, MalformedTarget> {
    let path_and_query = parts.uri.path_and_query().map_or("", PathAndQuery::as_str);
    match (parts.uri.scheme(), parts.uri.authority()) {
        (None, None) if path_and_query.starts_with('/') => Ok(parts.uri.clone()),
        (None, None) if path_and_query == "*" && parts.method == Method::OPTIONS => Ok(parts.uri.clone()),
        (Some(scheme), Some(authority)) if is_host_of(parts, scheme, authority) => {
            let has_path = path_and_query.starts_with('/');
            let target = if has_path { path_and_query.to_string() } else { format!("/{path_and_query}") };
            target.parse().map_err(|_| MalformedTarget)
        }
        _ => Err(MalformedTarget),
    }
}

/// Returns whether the authority of an absolute target is the host that `Host` names.
fn is_host_of(parts: &Parts, scheme: &Scheme, authority: &Authority) -> bool {
    let default_port = match scheme.as_str() {
        "http" => ":80",
        "https" => ":443",
        _ => return false,
    };
    let host = parts.headers.get(HOST).and_then(|value| value.to_str().ok()).unwrap_or_default();
    let without_default_port = |text: &str| text.strip_suffix(default_port).unwrap_or(text).to_ascii_lowercase();
    without_default_port(authority.as_str()) == without_default_port(host.trim())
}

#[cfg(test)]
#[path = "request_target_tests.rs"]
mod tests;
