//! The stand-in for the store of the users' platform.

use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use http::Client;
use http::ClientLimits;
use http::ServerLimits;
use http_types::Method;
use serde_json::Value;
use smol::LocalExecutor;
use smol::Timer;
use smol::net::TcpListener;
use standin::feed_store::FeedStore;
use standin::feed_store::FeedStoreHandler;

async fn time_ms(client: &Client) -> u64 {
    let request = client.request(Method::Get, "/rows-get?table=op").unwrap();
    let response = client.send_buffered(request).await.unwrap();
    let answer: Value = serde_json::from_slice(&response.body).unwrap();
    answer["nowMs"].as_u64().unwrap()
}

// Issue 38, soak seed 9007: the clock of the store stood still, so that each gateway that started
// took a stored quarantine for a new one.
#[test]
fn clock_of_the_store_goes_on() {
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let client = Client::new(listener.local_addr().unwrap(), ClientLimits::default());
        let handler = Rc::new(FeedStoreHandler(Rc::new(FeedStore::default())));
        let (_stop_sender, stop) = async_channel::bounded(1);
        let limits = ServerLimits::default();
        let server = http::serve(listener, limits, handler, Rc::clone(&executor), stop);
        let server = async {
            server.await.unwrap();
        };
        let test = async {
            let before_ms = time_ms(&client).await;
            Timer::after(Duration::from_millis(20)).await;
            assert!(time_ms(&client).await >= before_ms + 20);
        };
        test.or(server).await;
    }));
}
