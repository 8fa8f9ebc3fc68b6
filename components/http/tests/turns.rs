//! Peers that send, or take, bytes faster than this side handles them.

use std::cell::Cell;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::rc::Rc;

use futures_lite::future::yield_now;
use http::Client;
use http::ClientLimits;
use http::Exchange;
use http::Handler;
use http::HandlerFuture;
use http::Problem;
use http::Request;
use http::ServerLimits;
use http_types::Response;
use http_types::StatusCode;
use rustix::net::sockopt;
use smol::LocalExecutor;

const HEAD: &[u8] = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";
/// Bytes of a body; they fit into the buffers of a connection.
const BODY_BYTES: usize = 192 << 10;
/// Bytes of a turn, with what a read may add.
const TURN_BYTES: usize = (64 << 10) + (16 << 10);

/// Runs a task that counts the bytes that it handles, and returns the most that it handled before
/// another task ran.
fn most_bytes_in_a_turn<F: Future<Output = ()> + 'static>(
    handled: &Rc<Cell<usize>>,
    busy: impl FnOnce(Rc<LocalExecutor<'static>>) -> F,
) -> usize {
    let executor = Rc::new(LocalExecutor::new());
    let most = Rc::new(Cell::new(0));
    let (seen, largest) = (handled.clone(), most.clone());
    executor
        .spawn(async move {
            let mut before = 0;
            loop {
                yield_now().await;
                largest.set(largest.get().max(seen.get() - before));
                before = seen.get();
            }
        })
        .detach();
    let task = executor.spawn(busy(executor.clone()));
    smol::block_on(executor.run(task));
    most.get()
}

// A stream without end kept all other callers of its gateway waiting until its deadline.
#[test]
fn answer_that_arrives_faster_than_it_is_read_leaves_turns_to_other_tasks() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        sockopt::set_socket_send_buffer_size(&stream, 2 * BODY_BYTES).unwrap();
        let _ = stream.read(&mut [0; 1024]);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {BODY_BYTES}\r\n\r\n");
        stream.write_all(head.as_bytes()).unwrap();
        stream.write_all(&vec![b'x'; BODY_BYTES]).unwrap();
        stream
    });
    let read = Rc::new(Cell::new(0));
    let counted = read.clone();
    let most = most_bytes_in_a_turn(&read, |_| async move {
        let client = Client::new(address, ClientLimits::default());
        let mut response = client.forward(HEAD, &[], false, |_, _| true).await.unwrap();
        // All of the body is in the buffers of the connection before the first read.
        let _stream = server.join().unwrap();
        while let Some(chunk) = response.next_chunk().await.unwrap() {
            counted.set(counted.get() + chunk.len());
        }
    });
    assert_eq!(read.get(), BODY_BYTES);
    assert!(most <= TURN_BYTES, "{most} bytes");
}

/// Sends a body in small pieces.
struct Pieces(Rc<Cell<usize>>);

impl Handler for Pieces {
    fn admit(&self, _: &http_types::Request) -> Result<u64, Problem> {
        Ok(0)
    }

    fn handle<'a>(&'a self, _: Request, exchange: &'a mut Exchange) -> HandlerFuture<'a> {
        Box::pin(async move {
            let _ = exchange.start(Response::new(StatusCode::Ok)).await;
            let piece = [b'x'; 1 << 10];
            while self.0.get() < BODY_BYTES && exchange.write(&piece).await.is_ok() {
                self.0.set(self.0.get() + piece.len());
            }
        })
    }
}

// The same for answers of the server itself, to a client that takes all bytes at once.
#[test]
fn answer_that_is_taken_faster_than_it_is_made_leaves_turns_to_other_tasks() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    sockopt::set_socket_send_buffer_size(&listener, 2 * BODY_BYTES).unwrap();
    let address = listener.local_addr().unwrap();
    let (stop, stopped) = smol::channel::bounded::<()>(1);
    let client = std::thread::spawn(move || {
        let mut stream = TcpStream::connect(address).unwrap();
        let _ = stream.write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        let _ = stream.read_to_end(&mut Vec::new());
        drop(stop);
    });
    let written = Rc::new(Cell::new(0));
    let handler = Rc::new(Pieces(written.clone()));
    let most = most_bytes_in_a_turn(&written, |executor| async move {
        let listener = smol::Async::new(listener).unwrap().into();
        let limits = ServerLimits::default();
        let serving = http::serve(listener, limits, handler, executor, stopped);
        serving.await.unwrap();
    });
    client.join().unwrap();
    assert_eq!(written.get(), BODY_BYTES);
    assert!(most <= TURN_BYTES, "{most} bytes");
}
