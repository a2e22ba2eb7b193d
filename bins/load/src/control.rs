//! Control requests to targets, each on a new connection.

use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::BodyExt;
use http_body_util::Empty;
use hyper::Request;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::runtime::Builder;
use tokio::time::timeout;

use crate::errors::Error;
use crate::errors::Result;

/// Timeout of a control request. A frozen target does not respond.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Sends a GET request and returns the body of the response.
///
/// # Errors
///
/// The request failed or timed out, or the status is not 200.
pub async fn get(address: SocketAddr, path: &str) -> Result<Vec<u8>> {
    let control_error =
        |problem: String| Error::Control { address: format!("{address}{path}"), problem };
    match timeout(TIMEOUT, get_without_timeout(address, path)).await {
        Ok(Ok((200, body))) => Ok(body),
        Ok(Ok((status, _))) => Err(control_error(format!("status {status}"))),
        Ok(Err(problem)) => Err(control_error(problem)),
        Err(_) => Err(control_error(format!("no response within {TIMEOUT:?}"))),
    }
}

async fn get_without_timeout(
    address: SocketAddr,
    path: &str,
) -> std::result::Result<(u16, Vec<u8>), String> {
    let stream = TcpStream::connect(address).await.map_err(|error| error.to_string())?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(|error| error.to_string())?;
    let driver = tokio::spawn(connection);
    let request = Request::get(path)
        .header("host", "control")
        .header("connection", "close")
        .body(Empty::<bytes::Bytes>::new())
        .map_err(|error| error.to_string())?;
    let response = sender.send_request(request).await.map_err(|error| error.to_string())?;
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.map_err(|error| error.to_string())?;
    driver.abort();
    Ok((status, body.to_bytes().to_vec()))
}

/// Runs a future on a new single-threaded runtime, for synchronous callers.
pub fn block_on<T>(future: impl Future<Output = Result<T>>) -> Result<T> {
    Builder::new_current_thread().enable_all().build()?.block_on(future)
}
