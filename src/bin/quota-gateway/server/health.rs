//! The health checks and the metrics of the gateway itself.

use super::response::{self, Response};
use super::Server;
use hyper::StatusCode;

impl Server {
    /// The response to a request for the gateway's health or metrics; `None` for any other path.
    pub(super) fn health_response(&self, path: &str) -> Option<Response> {
        let healthy = match path {
            "/health/metrics" => {
                return Some(response::plain(
                    StatusCode::OK,
                    self.driver.metrics().encode(),
                ));
            }
            "/health/ready" => self.driver.is_ready() && !self.lifecycle.is_shutting_down(),
            "/health/live" => true,
            _ => return None,
        };
        let status = if healthy {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        Some(response::plain(status, ""))
    }
}
