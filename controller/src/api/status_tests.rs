//! Resources that are only read.

use poem::http::Method;
use poem::{Endpoint, Request};

use super::Journal;
use crate::api::response::{ApiError, ApiResponse};

#[tokio::test]
async fn what_is_only_read_answers_to_get_alone() {
    let call = |method| Journal.call(Request::builder().method(method).finish());
    assert!(matches!(call(Method::GET).await.expect("an answer"), ApiResponse::Json(_)));
    for method in [Method::POST, Method::PUT, Method::DELETE] {
        let refused = ApiResponse::Rejected(ApiError::method_not_allowed("method: GET"));
        assert_eq!(call(method).await.expect("an answer"), refused);
    }
}
