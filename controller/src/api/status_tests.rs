//! Read-only resources.

use poem::http::Method;
use poem::{Endpoint, Request};

use super::Journal;
use crate::api::response::{ApiError, ApiResponse};

#[tokio::test]
async fn read_only_resource_rejects_methods_other_than_get() {
    let call = |method| Journal.call(Request::builder().method(method).finish());
    assert!(matches!(call(Method::GET).await.expect("a response"), ApiResponse::Json(_)));
    for method in [Method::POST, Method::PUT, Method::DELETE] {
        let rejection = ApiResponse::Rejected(ApiError::method_not_allowed("method: GET"));
        assert_eq!(call(method).await.expect("a response"), rejection);
    }
}
