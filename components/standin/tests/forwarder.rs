//! Dropped traffic of the forwarder, which tests of dead connections rely on.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use futures_lite::FutureExt;
use http::Client;
use http::ClientLimits;
use http_types::Method;
use smol::LocalExecutor;
use smol::Timer;
use smol::net::TcpListener;
use smol::net::TcpStream;
use smol::net::UdpSocket;
use standin::forwarder::ForwarderOptions;
use standin::forwarder::Link;
use standin::ports::free_address;

/// Wait for a byte that must not arrive. A byte that arrives later gives a false pass, never a
/// false failure.
const SILENT_WAIT_MS: Duration = Duration::from_millis(200);
/// Longest wait for a byte that must arrive; long, because the machine may be busy.
const ECHO_WAIT_MS: Duration = Duration::from_secs(20);

async fn echo(listener: TcpListener, executor: Rc<LocalExecutor<'static>>) {
    while let Ok((stream, _)) = listener.accept().await {
        let copy = async move {
            let _ = futures_lite::io::copy(stream.clone(), stream).await;
        };
        executor.spawn(copy).detach();
    }
}

async fn set_mode(control: SocketAddr, mode: &str) {
    let client = Client::new(control, ClientLimits::default());
    let mut request = client.request(Method::Post, "/mode").expect("path");
    request.set_body(mode);
    let response = client.send_buffered(request).await.expect("response");
    assert!(response.status.is_success());
}

/// Sends a byte; true if it is echoed within the limit.
async fn echoes(stream: &mut TcpStream, limit: Duration) -> bool {
    stream.write_all(b"x").await.expect("written");
    let mut byte = [0; 1];
    let echo = async { stream.read_exact(&mut byte).await.is_ok() };
    let timeout = async {
        Timer::after(limit).await;
        false
    };
    echo.or(timeout).await
}

async fn connect(address: SocketAddr) -> TcpStream {
    loop {
        if let Ok(stream) = TcpStream::connect(address).await {
            return stream;
        }
        Timer::after(Duration::from_millis(5)).await;
    }
}

/// Guards against silenced connections that carry data again, and new ones that carry none.
#[test]
fn silences_existing_connections_permanently_but_not_new_ones() {
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.clone().run(async move {
        let target = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
        let (listen, control) = (free_address(), free_address());
        let link = Link {
            listen,
            target: target.local_addr().expect("bound"),
        };
        executor.spawn(echo(target, executor.clone())).detach();
        let options = ForwarderOptions {
            control,
            link: vec![link],
        };
        let server = {
            let executor = executor.clone();
            async move { standin::forwarder::serve(&options, executor).await }
        };
        executor.spawn(server).detach();

        let mut old = connect(listen).await;
        assert!(echoes(&mut old, ECHO_WAIT_MS).await);
        drop(connect(control).await);
        set_mode(control, r#"{"silence": "existing"}"#).await;
        assert!(!echoes(&mut old, SILENT_WAIT_MS).await);
        let mut new = connect(listen).await;
        assert!(echoes(&mut new, ECHO_WAIT_MS).await);
        set_mode(control, r#"{"silence": "none"}"#).await;
        assert!(
            !echoes(&mut old, SILENT_WAIT_MS).await,
            "this connection has lost bytes"
        );
        assert!(echoes(&mut new, ECHO_WAIT_MS).await);
        set_mode(control, r#"{"silence": "all", "direction": "from-target"}"#).await;
        assert!(!echoes(&mut new, SILENT_WAIT_MS).await);
    }));
}

/// Guards against datagrams that pass a silent link, and ones that an open link drops.
#[test]
fn drops_datagrams_until_the_mode_changes() {
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.clone().run(async move {
        let target = UdpSocket::bind("127.0.0.1:0").await.expect("loopback");
        let (listen, control) = (free_address(), free_address());
        let options = ForwarderOptions {
            control,
            link: vec![Link {
                listen,
                target: target.local_addr().expect("bound"),
            }],
        };
        let server = {
            let executor = executor.clone();
            async move { standin::forwarder::serve(&options, executor).await }
        };
        executor.spawn(server).detach();
        drop(connect(control).await);

        let client = UdpSocket::bind("127.0.0.1:0").await.expect("loopback");
        client.send_to(b"one", listen).await.expect("sent");
        let mut buffer = [0; 8];
        let (count, from) = target.recv_from(&mut buffer).await.expect("arrived");
        assert_eq!(&buffer[..count], b"one");
        target.send_to(b"two", from).await.expect("sent");
        let (count, _) = client.recv_from(&mut buffer).await.expect("arrived");
        assert_eq!(&buffer[..count], b"two");

        set_mode(control, r#"{"silence": "all"}"#).await;
        client.send_to(b"lost", listen).await.expect("sent");
        Timer::after(SILENT_WAIT_MS).await;
        set_mode(control, r#"{"silence": "none"}"#).await;
        client.send_to(b"three", listen).await.expect("sent");
        let (count, _) = target.recv_from(&mut buffer).await.expect("arrived");
        assert_eq!(&buffer[..count], b"three");
    }));
}
